package org.pollenrock.adapters.http;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.pollenrock.core.response.HeadCheck;

/**
 * Searches a body for the head of another response to the same request.
 *
 * <p>A status line alone may be a part of a sound body; with the identifier of the request in the
 * fields below it, the server has broken off its response and begun again.
 */
final class EmbeddedResponseScanner {
  /** Bytes of a status line that may still become one with the next part of the body. */
  private static final int STATUS_LINE_REST = "HTTP/1.1 20".length();

  private static final int MAX_HEAD_BYTES = 32 * 1024;

  private final String field;
  private final String id;
  private final StringBuilder text = new StringBuilder();

  EmbeddedResponseScanner(String field, String id) {
    this.field = field.toLowerCase(Locale.ROOT) + ":";
    this.id = id;
  }

  /**
   * Reads the next part of the body.
   *
   * @param part the bytes, which stay readable
   * @return whether the body holds another response
   */
  boolean isFoundIn(ByteBuf part) {
    if (id.isEmpty() || !part.isReadable()) {
      return false;
    }
    text.append(part.toString(StandardCharsets.ISO_8859_1));
    int start = HeadCheck.statusLinePosition(text, 0);
    while (start >= 0) {
      int end = headEnd(start);
      int length = (end < 0 ? text.length() : end) - start;
      if (namesRequest(start, start + length)) {
        return true;
      }
      if (end < 0 && length <= MAX_HEAD_BYTES) {
        text.delete(0, start);
        return false;
      }
      start = HeadCheck.statusLinePosition(text, start + 1);
    }
    text.delete(0, Math.max(0, text.length() - STATUS_LINE_REST));
    return false;
  }

  /** End of the fields below a status line, negative if it is not there yet. */
  private int headEnd(int start) {
    int lineFeed = text.indexOf("\n", start);
    while (lineFeed >= 0) {
      int next = lineFeed + 1;
      if (next < text.length() && text.charAt(next) == '\r') {
        next++;
      }
      if (next < text.length() && text.charAt(next) == '\n') {
        return lineFeed;
      }
      lineFeed = text.indexOf("\n", lineFeed + 1);
    }
    return -1;
  }

  private boolean namesRequest(int start, int end) {
    return text.substring(start, end)
        .lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(field))
        .anyMatch(line -> line.substring(field.length()).strip().equals(id));
  }
}
