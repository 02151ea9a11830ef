package org.pollenrock.adapters.plain;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Answer of a plain service.
 *
 * @param status HTTP status
 * @param headers response headers
 * @param body response body
 */
public record PlainAnswer(int status, HttpHeaders headers, byte[] body) {}
