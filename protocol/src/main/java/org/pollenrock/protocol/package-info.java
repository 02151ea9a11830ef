/** Messages between routers and their frame codec. */
package org.pollenrock.protocol;
