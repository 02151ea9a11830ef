/** Stand-ins and real routers of one deployment, started together on loopback. */
package org.pollenrock.bench.cluster;
