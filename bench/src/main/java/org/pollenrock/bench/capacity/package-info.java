/** Measured slopes of memory and time from which the capacity of a router is derived. */
package org.pollenrock.bench.capacity;
