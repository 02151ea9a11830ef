/** Slopes of memory and processor time for the capacity page. */
package org.pollenrock.bench.capacity;
