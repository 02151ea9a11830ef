/** Deployments and the traffic that they get, from a seed. */
package org.pollenrock.bench.workload;
