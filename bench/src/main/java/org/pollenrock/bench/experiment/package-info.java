/** Runs one trace under several placement policies and faults. */
package org.pollenrock.bench.experiment;
