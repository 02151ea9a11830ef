package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpRequest;

/** Reads what callers say in the heads of their requests. */
public interface CallerProtocol {
  /**
   * Decodes a head.
   *
   * @param request the head
   * @return what it says; fields that can't be read are absent
   */
  CallerRequestMetadata decode(HttpRequest request);
}
