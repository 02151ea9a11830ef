package org.pollenrock.gateway;

import java.util.Set;
import org.pollenrock.core.response.HeadCheck;

/**
 * Finds the heads of other responses in events.
 *
 * <p>A faulty server may break off a stream inside an event and then write another response, whose
 * head ends with an empty line like an event. Behind the status line it has fields that events do
 * not have; an event that quotes a status line has known fields only behind it.
 */
final class EventHeads {
  private static final Set<String> EVENT_FIELDS = Set.of("data", "id", "event", "retry");

  private EventHeads() {}

  /**
   * Returns whether an event contains the head of another response.
   *
   * @param text a part of a stream, one character for each byte, which may begin and end inside an
   *     event
   */
  static boolean contains(String text) {
    int statusLine = HeadCheck.statusLinePosition(text, 0);
    while (statusLine >= 0) {
      int lineStart = nextLine(text, statusLine);
      while (lineStart >= 0 && !isBlank(text, lineStart)) {
        if (!isEventField(text, lineStart)) {
          return true;
        }
        lineStart = nextLine(text, lineStart);
      }
      statusLine = lineStart < 0 ? -1 : HeadCheck.statusLinePosition(text, lineStart);
    }
    return false;
  }

  /** Returns the begin of the next line; negative if the line at a position does not end. */
  private static int nextLine(String text, int position) {
    int end = text.indexOf('\n', position);
    return end < 0 ? -1 : end + 1;
  }

  private static boolean isBlank(String text, int lineStart) {
    return lineStart == text.length()
        || text.startsWith("\n", lineStart)
        || text.startsWith("\r\n", lineStart);
  }

  private static boolean isEventField(String text, int lineStart) {
    int end = text.indexOf('\n', lineStart);
    String line = text.substring(lineStart, end < 0 ? text.length() : end).stripTrailing();
    int colon = line.indexOf(':');
    return colon == 0 || EVENT_FIELDS.contains(colon < 0 ? line : line.substring(0, colon));
  }
}
