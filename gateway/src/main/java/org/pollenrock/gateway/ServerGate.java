package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.pollenrock.core.fleet.Backend;

/** Asked before anything is sent to a backend server, and told of each of its responses. */
public interface ServerGate {
  /**
   * Returns whether the server may get a call now, and counts it if so.
   *
   * @param server the server
   * @return whether the server accepts it as far as it has told
   */
  boolean tryEnter(Backend server);

  /**
   * Returns whether a request that was assigned to the server may still be sent.
   *
   * @param server the server
   * @return whether the server accepts it as far as it has told
   */
  boolean permitsSend(Backend server);

  /**
   * Records what a response tells about further requests.
   *
   * @param server the server that the request was sent to
   * @param status status of the response
   * @param headers headers of the response
   */
  void recordResponse(Backend server, int status, HttpHeaders headers);
}
