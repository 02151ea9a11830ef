package org.pollenrock.core.ratelimit;

/**
 * What an instance tells the others about the rate of a server.
 *
 * @param server hash of the server's identity
 * @param startMillis Unix time of the server's start in milliseconds
 * @param notice the newest notice; either a limit or the end of one
 * @param ageNanos time since the notice
 */
public record RateAnnouncement(long server, long startMillis, RateNotice notice, long ageNanos) {}
