package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpRequest;

/** Decodes the metadata in the request heads of callers. */
public interface CallerProtocol {
  /**
   * Decodes the metadata of a request.
   *
   * @param request head of the request
   * @return the metadata; a field whose header can't be parsed is absent
   */
  CallerRequestMetadata decode(HttpRequest request);
}
