/** Faults that an experiment can inject while its traffic runs. */
package org.pollenrock.bench.fault;
