/** Measures how memory, bytes and time of the decisions grow with size. */
package org.pollenrock.bench.capacity;
