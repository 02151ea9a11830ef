package org.pollenrock.adapters.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Consumer;
import org.pollenrock.core.response.HeadCheck;

/**
 * Incremental parser of server-sent events with bounds on a line and on an event.
 *
 * <p>Lines end in LF, CR or CRLF. Comments and unknown fields are skipped. After a bound was
 * exceeded the parser accepts nothing more.
 *
 * <p>An engine that breaks off its response may write another one into the stream. An event that
 * contains a status line and an unknown field holds the head of such a response; an event that
 * quotes a status line has known fields only.
 */
public final class SseParser {
  private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};

  private final int maxLineBytes;
  private final int maxEventBytes;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final StringBuilder data = new StringBuilder();
  private Optional<String> id = Optional.empty();
  private String type = "";
  private int eventBytes;
  private boolean hasData;
  private boolean hasStatusLine;
  private boolean hasUnknownField;
  private boolean afterCarriageReturn;
  private boolean firstLine = true;
  private Status status = Status.OK;

  /** Whether the stream is within its bounds, and that of one response. */
  public enum Status {
    OK,
    LINE_TOO_LONG,
    EVENT_TOO_LARGE,
    OTHER_RESPONSE
  }

  /**
   * Creates a parser at the start of a stream.
   *
   * @param maxLineBytes longest line
   * @param maxEventBytes largest sum of the lines of one event
   */
  public SseParser(int maxLineBytes, int maxEventBytes) {
    this.maxLineBytes = maxLineBytes;
    this.maxEventBytes = maxEventBytes;
  }

  /**
   * Reads the next bytes of the stream.
   *
   * @param bytes any part of the stream
   * @param events receives each event that the bytes complete, in order
   * @return the status after these bytes
   */
  public Status feed(byte[] bytes, Consumer<SseEvent> events) {
    int start = 0;
    for (int i = 0; i < bytes.length && status == Status.OK; i++) {
      byte current = bytes[i];
      if (current != '\n' && current != '\r') {
        afterCarriageReturn = false;
        continue;
      }
      boolean endsCarriageReturn = current == '\n' && afterCarriageReturn && i == start;
      if (!endsCarriageReturn) {
        append(bytes, start, i - start);
        endLine(events);
      }
      afterCarriageReturn = current == '\r';
      start = i + 1;
    }
    if (status == Status.OK && start < bytes.length) {
      append(bytes, start, bytes.length - start);
    }
    return status;
  }

  /**
   * Whether bytes of an event that is not complete are held.
   *
   * @return true when the stream would end inside an event
   */
  public boolean insideEvent() {
    return line.size() > 0 || hasData;
  }

  private void append(byte[] bytes, int offset, int length) {
    if (line.size() + length > maxLineBytes) {
      status = Status.LINE_TOO_LONG;
      return;
    }
    line.write(bytes, offset, length);
  }

  private void endLine(Consumer<SseEvent> events) {
    if (status != Status.OK) {
      return;
    }
    eventBytes += line.size();
    if (eventBytes > maxEventBytes) {
      status = Status.EVENT_TOO_LARGE;
      return;
    }
    String text = takeLine();
    if (text.isEmpty()) {
      dispatch(events);
      return;
    }
    hasStatusLine |= HeadCheck.statusLinePosition(text, 0) >= 0;
    int colon = text.indexOf(':');
    if (colon == 0) {
      return;
    }
    String field = colon < 0 ? text : text.substring(0, colon);
    readField(field, colon < 0 ? "" : valueAfter(text, colon));
  }

  private String takeLine() {
    byte[] bytes = line.toByteArray();
    line.reset();
    int offset = firstLine && startsWithMark(bytes) ? BYTE_ORDER_MARK.length : 0;
    firstLine = false;
    return new String(bytes, offset, bytes.length - offset, StandardCharsets.UTF_8);
  }

  private static boolean startsWithMark(byte[] bytes) {
    return bytes.length >= BYTE_ORDER_MARK.length
        && bytes[0] == BYTE_ORDER_MARK[0]
        && bytes[1] == BYTE_ORDER_MARK[1]
        && bytes[2] == BYTE_ORDER_MARK[2];
  }

  private static String valueAfter(String text, int colon) {
    int start = colon + 1;
    boolean space = start < text.length() && text.charAt(start) == ' ';
    return text.substring(space ? start + 1 : start);
  }

  private void readField(String field, String value) {
    switch (field) {
      case "data" -> {
        if (hasData) {
          data.append('\n');
        }
        data.append(value);
        hasData = true;
      }
      case "id" -> id = value.indexOf('\0') < 0 ? Optional.of(value) : id;
      case "event" -> type = value;
      case "retry" -> {
        // The time after which a caller would connect again has no meaning here.
      }
      default -> {
        // Unknown fields are skipped, as the event stream format demands.
        hasUnknownField = true;
      }
    }
  }

  private void dispatch(Consumer<SseEvent> events) {
    if (hasStatusLine && hasUnknownField) {
      status = Status.OTHER_RESPONSE;
      return;
    }
    if (hasData) {
      events.accept(new SseEvent(id, type.isEmpty() ? "message" : type, data.toString()));
    }
    data.setLength(0);
    hasData = false;
    hasStatusLine = false;
    hasUnknownField = false;
    id = Optional.empty();
    type = "";
    eventBytes = 0;
  }
}
