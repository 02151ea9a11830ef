/** Demonstration of the whole path from caller to backend server in one process. */
package org.pollenrock.bench.demo;
