package org.pollenrock.ctl.load;

import java.util.OptionalLong;

/** Reads the lines of one answer and decides whether it is complete. */
final class AnswerReader {
  private static final String DATA = "data:";
  private static final String ID = "id:";
  private static final String EVENT_ERROR = "event: error";
  private static final String DONE = "[DONE]";

  private final boolean streamed;
  private OptionalLong firstDataNanos = OptionalLong.empty();
  private long lastId = -1;
  private boolean done;
  private boolean outOfOrder;
  private boolean errorEvent;

  AnswerReader(boolean streamed) {
    this.streamed = streamed;
  }

  void line(String line, long nowNanos) {
    if (line.startsWith(DATA)) {
      outOfOrder |= done;
      String data = line.substring(DATA.length()).strip();
      if (data.equals(DONE)) {
        done = true;
      } else if (firstDataNanos.isEmpty()) {
        firstDataNanos = OptionalLong.of(nowNanos);
      }
    } else if (line.startsWith(ID)) {
      id(line.substring(ID.length()).strip());
    } else if (line.equals(EVENT_ERROR)) {
      errorEvent = true;
    }
  }

  /** Token indexes are consecutive; a repeated or missing one breaks the stream. */
  private void id(String text) {
    if (text.isEmpty() || text.length() > 18 || !text.chars().allMatch(Character::isDigit)) {
      outOfOrder = true;
      return;
    }
    long id = Long.parseLong(text);
    outOfOrder |= lastId >= 0 && id != lastId + 1;
    lastId = id;
  }

  OptionalLong firstDataNanos() {
    return firstDataNanos;
  }

  boolean complete() {
    return !streamed || done && !outOfOrder && !errorEvent;
  }
}
