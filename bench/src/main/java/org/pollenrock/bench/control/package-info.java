/** Measurements of control work: settings changes, leaving servers, restarted routers. */
package org.pollenrock.bench.control;
