package org.pollenrock.router.operator;

import java.nio.charset.StandardCharsets;

/**
 * An answer to an operator.
 *
 * @param status HTTP status
 * @param contentType media type
 * @param body the content
 */
record OperatorPage(int status, String contentType, byte[] body) {
  static OperatorPage text(int status, String text) {
    return new OperatorPage(
        status, "text/plain; charset=utf-8", text.getBytes(StandardCharsets.UTF_8));
  }

  static OperatorPage json(int status, byte[] json) {
    return new OperatorPage(status, "application/json", json);
  }
}
