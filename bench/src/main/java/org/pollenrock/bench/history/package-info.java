/** Histories of concurrent runs and the rules that every history must keep. */
package org.pollenrock.bench.history;
