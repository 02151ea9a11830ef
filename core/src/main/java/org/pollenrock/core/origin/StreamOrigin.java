package org.pollenrock.core.origin;

/**
 * Where a stream has begun, which decides where it may go on.
 *
 * @param service service of the server that began it
 * @param softwareVersion version of that server's software
 */
public record StreamOrigin(String service, String softwareVersion) {}
