/**
 * Connections between routers.
 *
 * <p>A router sends on the links that it opened and receives on the links that it accepted. Each
 * heartbeat is answered with a heartbeat, so that both ends notice a connection that went silent.
 */
package org.pollenrock.protocol.link;
