/** Measurements of one router under many requests or streams, with an event-driven client. */
package org.pollenrock.bench.load;
