package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Whole answer of a server.
 *
 * @param status its status
 * @param headers its headers
 * @param body its body; to be released
 */
record PlainResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {}
