package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Complete response of a server that is not a stream.
 *
 * @param status status of the response
 * @param headers headers of the response
 * @param body body of the response; the receiver has to release it
 */
record PlainResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {}
