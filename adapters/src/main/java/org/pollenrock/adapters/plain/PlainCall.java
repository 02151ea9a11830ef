package org.pollenrock.adapters.plain;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Objects;
import org.pollenrock.adapters.http.ConnectionUse;
import org.pollenrock.adapters.http.HostPort;
import org.pollenrock.core.model.BackendServerId;

/**
 * A call of a plain service.
 *
 * @param server name of the server
 * @param address where it listens
 * @param method HTTP method
 * @param path path and query
 * @param headers end-to-end headers
 * @param body body, empty for none
 * @param timeout longest time to the end of the answer
 * @param use which connections may be used
 */
public record PlainCall(
    BackendServerId server,
    HostPort address,
    String method,
    String path,
    HttpHeaders headers,
    byte[] body,
    Duration timeout,
    ConnectionUse use) {
  /** Checks that all parts are present. */
  public PlainCall {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(timeout, "timeout");
    Objects.requireNonNull(use, "use");
  }
}
