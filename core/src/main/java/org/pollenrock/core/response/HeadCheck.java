package org.pollenrock.core.response;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Checks that a parsed head is that of one response.
 *
 * <p>A faulty server may write the first bytes of a response and then a whole other one. A parser
 * that accepts unusual names and values takes both for one head, with the status of the first and
 * the identity of the second. Such a head shows a status line inside of it or a line that is no
 * field, wherever the first response breaks off.
 */
public final class HeadCheck {
  private static final List<String> FRAMING_FIELDS =
      List.of("content-length", "transfer-encoding", "content-encoding");

  private static final String TRANSFER_ENCODING = "transfer-encoding";
  private static final String CHUNKED = "chunked";
  private static final char ANY_DIGIT = '0';
  private static final String STATUS_LINE_PATTERN = "HTTP/0.0 000";

  /** First character of a status line; bytes without it begin none. */
  public static final char STATUS_LINE_START = 'H';

  /** Length of a status line without its reason phrase, in bytes. */
  static final int STATUS_LINE_LENGTH = STATUS_LINE_PATTERN.length();

  private static final int STATUS_CODE_DIGITS = 3;
  private static final int MIN_STATUS = 100;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int MAX_STATUS = 599;
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

  private final List<String> singleFields;

  /**
   * Creates a check.
   *
   * @param identifyingFields names of fields, in any case, that identify a response, of which a
   *     head has each at most once
   */
  public HeadCheck(List<String> identifyingFields) {
    singleFields = Stream.concat(FRAMING_FIELDS.stream(), identifyingFields.stream()).toList();
  }

  /**
   * Looks for a fault in the head of a response.
   *
   * @param status the status
   * @param reasonPhrase the text after the status
   * @param fields the fields in the order received
   * @return the first fault found; empty if the head is that of one response
   */
  public Optional<HeadFault> find(
      int status,
      CharSequence reasonPhrase,
      Iterator<? extends Map.Entry<? extends CharSequence, ? extends CharSequence>> fields) {
    if (status < MIN_STATUS || status > MAX_STATUS || status == SWITCHING_PROTOCOLS) {
      return Optional.of(HeadFault.STATUS);
    }
    Optional<HeadFault> phraseFault = findInText(reasonPhrase);
    return phraseFault.isPresent() ? phraseFault : findInFields(fields);
  }

  /**
   * Looks for a fault in the fields of a head or in those after a chunked body.
   *
   * @param fields the fields in the order received
   * @return the first fault found; empty if there is none
   */
  public Optional<HeadFault> findInFields(
      Iterator<? extends Map.Entry<? extends CharSequence, ? extends CharSequence>> fields) {
    long seen = 0;
    while (fields.hasNext()) {
      Map.Entry<? extends CharSequence, ? extends CharSequence> field = fields.next();
      CharSequence name = field.getKey();
      CharSequence value = field.getValue();
      if (!isToken(name)) {
        return Optional.of(HeadFault.FIELD_NAME);
      }
      Optional<HeadFault> valueFault = findInText(value);
      if (valueFault.isPresent()) {
        return valueFault;
      }
      int position = singleFieldPosition(name);
      if (position >= 0) {
        if ((seen & 1L << position) != 0) {
          return Optional.of(HeadFault.REPEATED_FIELD);
        }
        seen |= 1L << position;
        if (singleFields.get(position).equals(TRANSFER_ENCODING)
            && !value.toString().trim().equalsIgnoreCase(CHUNKED)) {
          return Optional.of(HeadFault.TRANSFER_CODING);
        }
      }
    }
    return Optional.empty();
  }

  /**
   * Returns whether a text is the status code of a status line. Parsers of numbers also accept a
   * sign, and more or fewer digits.
   *
   * @param text the second word of the status line
   * @return whether the text consists of three digits
   */
  public static boolean isStatusCode(CharSequence text) {
    return text.length() == STATUS_CODE_DIGITS
        && text.chars().allMatch(next -> isDigit((char) next));
  }

  /**
   * Returns the position at which a status line begins in a text.
   *
   * @param text the text
   * @param from position from which to search
   * @return the position; negative if there is none
   */
  public static int statusLinePosition(CharSequence text, int from) {
    int last = text.length() - STATUS_LINE_LENGTH;
    for (int position = from; position <= last; position++) {
      if (text.charAt(position) == STATUS_LINE_START && isPartOfStatusLine(text, position)) {
        return position;
      }
    }
    return -1;
  }

  /**
   * Returns whether a text from a position on is a status line, as far as the text goes.
   *
   * @param text the text
   * @param start the position
   * @return whether the text there is the begin of a status line or begins with one
   */
  static boolean isPartOfStatusLine(CharSequence text, int start) {
    int length = Math.min(text.length() - start, STATUS_LINE_LENGTH);
    for (int i = 0; i < length; i++) {
      char expected = STATUS_LINE_PATTERN.charAt(i);
      char next = text.charAt(start + i);
      if (expected == ANY_DIGIT ? !isDigit(next) : next != expected) {
        return false;
      }
    }
    return true;
  }

  private static Optional<HeadFault> findInText(CharSequence text) {
    boolean mayContainStatusLine = false;
    int length = text.length();
    for (int i = 0; i < length; i++) {
      char next = text.charAt(i);
      if (next < ' ' && next != '\t' || next == 0x7f) {
        return Optional.of(HeadFault.CONTROL_CHARACTER);
      }
      mayContainStatusLine |= next == STATUS_LINE_START;
    }
    return mayContainStatusLine && statusLinePosition(text, 0) >= 0
        ? Optional.of(HeadFault.SECOND_STATUS_LINE)
        : Optional.empty();
  }

  private static boolean isToken(CharSequence name) {
    if (name.isEmpty()) {
      return false;
    }
    for (int i = 0; i < name.length(); i++) {
      char next = name.charAt(i);
      boolean alphanumeric =
          next >= 'a' && next <= 'z' || next >= 'A' && next <= 'Z' || isDigit(next);
      if (!alphanumeric && TOKEN_SYMBOLS.indexOf(next) < 0) {
        return false;
      }
    }
    return true;
  }

  private static boolean isDigit(char next) {
    return next >= '0' && next <= '9';
  }

  private int singleFieldPosition(CharSequence name) {
    for (int i = 0; i < singleFields.size(); i++) {
      String candidate = singleFields.get(i);
      if (candidate.length() == name.length() && candidate.equalsIgnoreCase(name.toString())) {
        return i;
      }
    }
    return -1;
  }
}
