/** Keeps streams at servers of the software version that began them. */
package org.pollenrock.core.origin;
