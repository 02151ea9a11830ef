/**
 * Open-loop load in the request mix of a deployment.
 *
 * <p>Requests leave at times drawn in advance, whether or not earlier ones were answered, and times
 * are measured from those; a router that stalls therefore cannot hide the stall.
 */
package org.pollenrock.ctl.load;
