/** Figures of a run, as JSON, as a table and as a page with plots. */
package org.pollenrock.bench.figure;
