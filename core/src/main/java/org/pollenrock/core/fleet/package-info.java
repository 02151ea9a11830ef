/** Backend servers as listed, and what this instance has seen of each of them. */
package org.pollenrock.core.fleet;
