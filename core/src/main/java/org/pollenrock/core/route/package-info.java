/** Routes of opaque requests by host and path, with the customers and bounds that go with them. */
package org.pollenrock.core.route;
