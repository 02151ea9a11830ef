package org.pollenrock.core.fleet;

/**
 * Notice in the head of a server's response.
 *
 * @param leaving whether the server leaves
 * @param serverId identifier of the responding server; empty if the response does not name it
 */
public record ServerNotice(boolean leaving, String serverId) {}
