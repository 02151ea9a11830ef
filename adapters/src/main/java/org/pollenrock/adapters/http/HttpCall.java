package org.pollenrock.adapters.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Objects;

/**
 * A request whose answer is read as a whole.
 *
 * @param peer where to send it
 * @param method the HTTP method
 * @param path path and query, starting with a slash
 * @param headers end-to-end headers
 * @param body the body, empty for none
 * @param timeout longest time to the end of the answer
 * @param maxAnswerBytes bound of the answer's body
 * @param held account of the answer while it is collected
 * @param use which connections may be used
 */
public record HttpCall(
    HostPort peer,
    String method,
    String path,
    HttpHeaders headers,
    byte[] body,
    Duration timeout,
    int maxAnswerBytes,
    HeldBytes held,
    ConnectionUse use) {
  /** Checks that all parts are present. */
  public HttpCall {
    Objects.requireNonNull(peer, "peer");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(timeout, "timeout");
    Objects.requireNonNull(held, "held");
    Objects.requireNonNull(use, "use");
  }
}
