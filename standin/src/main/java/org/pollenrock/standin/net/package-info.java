/** Stand-in of the network between two data centres. */
package org.pollenrock.standin.net;
