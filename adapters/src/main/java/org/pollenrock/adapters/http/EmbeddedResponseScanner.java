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

  /** A longer line cannot be the field with the identifier. */
  private static final int MAX_LINE_BYTES = 1_024;

  private final String field;
  private final String id;
  private final StringBuilder text = new StringBuilder();
  private boolean inHead;
  private boolean lineCut;

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
    text.append(part.toString(StandardCharsets.ISO_8859_1));
    int start = 0;
    int lineFeed = text.indexOf("\n");
    while (lineFeed >= 0) {
      if (namesRequest(text.substring(start, lineFeed))) {
        return true;
      }
      start = lineFeed + 1;
      lineFeed = text.indexOf("\n", start);
    }
    text.delete(0, start);
    if (text.length() > MAX_LINE_BYTES) {
      inHead |= HeadCheck.statusLinePosition(text, 0) >= 0;
      lineCut = true;
      text.delete(0, text.length() - STATUS_LINE_REST);
    }
    return false;
  }

  /** Returns whether a line is the field of another head that has the identifier. */
  private boolean namesRequest(String line) {
    boolean whole = !lineCut;
    lineCut = false;
    if (HeadCheck.statusLinePosition(line, 0) >= 0) {
      inHead = true;
      return false;
    }
    if (!inHead || !whole) {
      return false;
    }
    inHead = !line.isBlank();
    return line.toLowerCase(Locale.ROOT).startsWith(field)
        && line.substring(field.length()).strip().equals(id);
  }
}
