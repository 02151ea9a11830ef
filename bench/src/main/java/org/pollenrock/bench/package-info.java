/** Demo, experiment tool and benchmarks. */
package org.pollenrock.bench;
