/** Stand-in of the instance list. */
package org.pollenrock.standin.list;
