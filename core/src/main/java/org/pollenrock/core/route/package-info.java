/** Routing of requests by host and path, with the customers and the limits that apply to them. */
package org.pollenrock.core.route;
