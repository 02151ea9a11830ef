/** Stand-in of the platform's store of keyed topics. */
package org.pollenrock.standin.platform;
