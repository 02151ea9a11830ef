package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;

/** Takes requests that have been read whole. */
interface ExchangeFactory {
  /**
   * Starts the exchange of a request.
   *
   * @param head head of the request
   * @param body its body; released when the exchange ends
   * @param response where the answer goes
   * @return the exchange
   */
  Exchange create(HttpRequest head, ByteBuf body, CallerResponse response);
}
