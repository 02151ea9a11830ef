package org.pollenrock.standin.http;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * A received HTTP request, copied out of Netty's buffers.
 *
 * @param method the HTTP method
 * @param path the path without the query
 * @param query query parameters
 * @param headers request headers
 * @param body the whole body
 */
public record StandinRequest(
    String method, String path, Map<String, List<String>> query, HttpHeaders headers, byte[] body) {

  static StandinRequest of(FullHttpRequest request) {
    QueryStringDecoder decoder = new QueryStringDecoder(request.uri());
    byte[] body = new byte[request.content().readableBytes()];
    request.content().readBytes(body);
    return new StandinRequest(
        request.method().name(),
        decoder.path(),
        decoder.parameters(),
        request.headers().copy(),
        body);
  }

  /**
   * Reads a numeric query parameter.
   *
   * @param name the parameter
   * @param missing the value when it is absent
   * @return the value
   */
  public long number(String name, long missing) {
    List<String> values = query.get(name);
    return values == null ? missing : Long.parseLong(values.getFirst());
  }

  /**
   * Reads a header.
   *
   * @param name the header
   * @return its value, or an empty string
   */
  public String header(String name) {
    return headers.get(name, "");
  }

  /**
   * Decodes the body.
   *
   * @return the body as UTF-8 text
   */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
