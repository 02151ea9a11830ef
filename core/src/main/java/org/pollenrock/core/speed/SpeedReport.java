package org.pollenrock.core.speed;

/**
 * What one instance has measured of a server.
 *
 * @param ratio time that the server takes, relative to the usual time of its service
 * @param weight number of recent responses that the ratio rests on
 * @param limit number of requests at once beyond which the server does no more work; 0 if none was
 *     found
 */
public record SpeedReport(double ratio, double weight, int limit) {}
