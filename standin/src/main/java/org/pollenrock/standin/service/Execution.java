package org.pollenrock.standin.service;

/**
 * A call that the service ran.
 *
 * @param server name of the server
 * @param method HTTP method
 * @param path path
 * @param key the Idempotency-Key header, or empty
 * @param attempt the X-Attempt-Id header, or empty
 * @param body the request body
 */
public record Execution(
    String server, String method, String path, String key, String attempt, String body) {}
