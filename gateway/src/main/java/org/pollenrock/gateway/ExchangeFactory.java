package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/** Creates the exchanges of requests that have been received completely. */
interface ExchangeFactory {
  /**
   * Creates the exchange of a request.
   *
   * @param head head of the request
   * @param body body of the request; the exchange releases it when it ends
   * @param response sends the response to the caller
   * @return the exchange
   */
  Exchange create(HttpRequest head, ByteBuf body, CallerResponse response);
}
