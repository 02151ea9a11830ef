/** The router daemon. */
package org.pollenrock.router;
