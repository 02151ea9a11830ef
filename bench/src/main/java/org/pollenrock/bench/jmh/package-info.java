/** JMH benchmarks of single decisions. */
package org.pollenrock.bench.jmh;
