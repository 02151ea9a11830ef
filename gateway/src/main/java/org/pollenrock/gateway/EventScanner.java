package org.pollenrock.gateway;

/**
 * Finds the ends of the events of a stream and reads their numbers, in one pass over the bytes,
 * which may be divided anywhere.
 *
 * <p>An event ends with an empty line. Its number is the value of its first {@code id} field, if
 * {@link Long#parseLong(String)} accepts that without the white space around it.
 */
final class EventScanner {
  /** What the bytes of a line have been so far. */
  private enum Line {
    EMPTY,
    CARRIAGE_RETURN,
    I,
    ID,
    NUMBER,
    OTHER
  }

  /** What the bytes of a number have been so far. */
  private enum Digits {
    NONE,
    SIGN,
    SOME,
    ENDED,
    INVALID
  }

  private Line line = Line.EMPTY;
  private boolean idSeen;
  private Digits digits = Digits.NONE;
  private boolean negative;

  /** The number so far, negated, since the negative range is the larger one. */
  private long negated;

  private boolean ended;

  /** Prepares for the begin of an event. */
  void reset() {
    line = Line.EMPTY;
    idSeen = false;
    digits = Digits.NONE;
    negative = false;
    negated = 0;
    ended = false;
  }

  /**
   * Reads on to the end of an event.
   *
   * @param bytes array with the next bytes of the stream
   * @param from index of the first one
   * @param to index behind the last one
   * @return index behind the event; negative if it does not end in the bytes
   */
  int skipEvent(byte[] bytes, int from, int to) {
    if (ended) {
      reset();
    }
    int position = from;
    while (position < to) {
      if (line == Line.OTHER) {
        position = lineEnd(bytes, position, to);
        if (position == to) {
          break;
        }
      }
      byte next = bytes[position];
      position++;
      if (next != '\n') {
        readByte(next);
      } else if (line == Line.EMPTY || line == Line.CARRIAGE_RETURN) {
        ended = true;
        return position;
      } else {
        line = Line.EMPTY;
      }
    }
    return -1;
  }

  /** Returns whether the event whose end was found last has a number. */
  boolean hasNumber() {
    boolean inRange = negative || negated != Long.MIN_VALUE;
    return (digits == Digits.SOME || digits == Digits.ENDED) && inRange;
  }

  /** Returns the number of the event whose end was found last. */
  long number() {
    return negative ? negated : -negated;
  }

  private static int lineEnd(byte[] bytes, int from, int to) {
    int end = from;
    while (end < to && bytes[end] != '\n') {
      end++;
    }
    return end;
  }

  private void readByte(byte next) {
    switch (line) {
      case EMPTY -> {
        if (next == '\r') {
          line = Line.CARRIAGE_RETURN;
        } else {
          line = next == 'i' && !idSeen ? Line.I : Line.OTHER;
        }
      }
      case I -> line = next == 'd' ? Line.ID : Line.OTHER;
      case ID -> {
        idSeen = next == ':';
        line = idSeen ? Line.NUMBER : Line.OTHER;
      }
      case NUMBER -> readNumber(next);
      default -> line = Line.OTHER;
    }
  }

  private void readNumber(byte next) {
    int digit = next - '0';
    boolean space = next >= 0 && next <= ' ';
    if (digit >= 0 && digit <= 9) {
      readDigit(digit);
    } else if (space && (digits == Digits.SOME || digits == Digits.ENDED)) {
      digits = Digits.ENDED;
    } else if ((next == '-' || next == '+') && digits == Digits.NONE) {
      digits = Digits.SIGN;
      negative = next == '-';
    } else if (!space || digits != Digits.NONE) {
      digits = Digits.INVALID;
    }
  }

  private void readDigit(int digit) {
    boolean overflows =
        negated < Long.MIN_VALUE / 10
            || negated == Long.MIN_VALUE / 10 && digit > -(Long.MIN_VALUE % 10);
    if (digits == Digits.ENDED || digits == Digits.INVALID || overflows) {
      digits = Digits.INVALID;
    } else {
      digits = Digits.SOME;
      negated = 10 * negated - digit;
    }
  }
}
