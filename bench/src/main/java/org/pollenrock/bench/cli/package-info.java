/** Command line of the experiment tool. */
package org.pollenrock.bench.cli;
