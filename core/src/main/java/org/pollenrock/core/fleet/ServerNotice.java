package org.pollenrock.core.fleet;

import java.util.OptionalLong;

/**
 * Notice in the head of a server's response.
 *
 * @param leaving whether the server leaves
 * @param holdNanos time for which the server wants no requests of this instance, in nanoseconds;
 *     empty if it names none
 * @param unreadable whether the response names such a time that can't be read
 * @param serverId identifier of the responding server; empty if the response does not name it
 */
public record ServerNotice(
    boolean leaving, OptionalLong holdNanos, boolean unreadable, String serverId) {}
