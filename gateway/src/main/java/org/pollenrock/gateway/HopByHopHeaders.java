package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.AsciiString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Hop-by-hop headers, which apply to one connection only and must not be relayed. */
final class HopByHopHeaders {
  private static final AsciiString KEEP_ALIVE = AsciiString.cached("keep-alive");
  private static final AsciiString PROXY_CONNECTION = AsciiString.cached("proxy-connection");
  private static final List<AsciiString> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          KEEP_ALIVE,
          PROXY_CONNECTION,
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);
  private static final String TIMEOUT_PREFIX = "timeout=";

  private HopByHopHeaders() {}

  /** Removes the hop-by-hop headers, including those that the Connection header names. */
  static void remove(HttpHeaders headers) {
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        String trimmed = name.trim();
        if (!trimmed.isEmpty() && !trimmed.equalsIgnoreCase("close")) {
          headers.remove(trimmed);
        }
      }
    }
    NAMES.forEach(headers::remove);
  }

  /** Returns how long the sender keeps an idle connection open, if a Keep-Alive header says so. */
  static Optional<Duration> keepAliveTimeout(HttpHeaders headers) {
    String value = headers.get(KEEP_ALIVE);
    if (value == null) {
      return Optional.empty();
    }
    for (String part : value.toLowerCase(Locale.ROOT).split(",")) {
      String trimmed = part.trim();
      if (trimmed.startsWith(TIMEOUT_PREFIX)) {
        return parseSeconds(trimmed.substring(TIMEOUT_PREFIX.length()));
      }
    }
    return Optional.empty();
  }

  /** Returns whether the headers name a transfer coding other than chunked, or several codings. */
  static boolean hasUnsupportedTransferCoding(HttpHeaders headers) {
    List<String> codings = new ArrayList<>(headers.getAll(HttpHeaderNames.TRANSFER_ENCODING));
    return codings.size() > 1
        || codings.size() == 1 && !codings.get(0).trim().equalsIgnoreCase("chunked");
  }

  private static Optional<Duration> parseSeconds(String text) {
    try {
      return Optional.of(Duration.ofSeconds(Long.parseLong(text.trim())));
    } catch (NumberFormatException e) {
      // An invalid timeout is treated like a missing one.
      return Optional.empty();
    }
  }
}
