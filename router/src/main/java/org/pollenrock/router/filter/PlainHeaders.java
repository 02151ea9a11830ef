package org.pollenrock.router.filter;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Selection of the headers that pass between callers and plain services. */
final class PlainHeaders {
  /** Headers of one connection, and the caller's key, which no service may see. */
  private static final Set<String> NOT_PASSED =
      Set.of(
          "authorization",
          "connection",
          "content-length",
          "expect",
          "host",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "x-attempt-id",
          "x-caller-id",
          "x-customer-id",
          "x-request-deadline-ms",
          "x-request-id");

  private PlainHeaders() {}

  static HttpHeaders passed(HttpHeaders from) {
    HttpHeaders headers = new DefaultHttpHeaders();
    Set<String> named = named(from);
    for (Map.Entry<String, String> entry : from) {
      String name = entry.getKey().toLowerCase(Locale.ROOT);
      if (!NOT_PASSED.contains(name) && !named.contains(name)) {
        headers.add(entry.getKey(), entry.getValue());
      }
    }
    return headers;
  }

  /** Headers that the Connection header declares to belong to one connection. */
  private static Set<String> named(HttpHeaders from) {
    String connection = String.join(",", from.getAll("Connection"));
    return new HashSet<>(
        Arrays.asList(connection.toLowerCase(Locale.ROOT).replace(" ", "").split(",")));
  }
}
