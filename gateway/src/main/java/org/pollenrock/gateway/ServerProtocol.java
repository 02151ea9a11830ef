package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;

/** Writes and reads what is said to and by backend servers in heads. */
public interface ServerProtocol {
  /**
   * Removes what a caller may not say to a server, and adds what the server is told.
   *
   * @param headers headers of the request; those of the connection are gone already
   * @param context what the server is told
   */
  void prepare(HttpHeaders headers, SendContext context);

  /**
   * Decodes the head of an answer.
   *
   * @param response the head
   * @return what it says; fields that can't be read are absent
   */
  ServerResponseMetadata decode(HttpResponse response);
}
