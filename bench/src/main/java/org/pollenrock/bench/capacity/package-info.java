/** Measurements of how memory and time grow with the size of a deployment. */
package org.pollenrock.bench.capacity;
