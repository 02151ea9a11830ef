package org.pollenrock.router.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Objects;

/**
 * A request that was read completely.
 *
 * @param method HTTP method
 * @param uri request target as sent
 * @param headers request headers
 * @param body request body, empty for none
 */
public record CallerRequest(HttpMethod method, String uri, HttpHeaders headers, byte[] body) {
  /** Checks that all parts are present. */
  public CallerRequest {
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(uri, "uri");
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(body, "body");
  }

  /**
   * The target without its query.
   *
   * @return the path
   */
  public String path() {
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }
}
