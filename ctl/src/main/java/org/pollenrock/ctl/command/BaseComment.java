package org.pollenrock.ctl.command;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** First line of a file that {@code show} printed: the base of a change made with that file. */
final class BaseComment {
  private static final Pattern LINE = Pattern.compile("\\A# base: (-1|\\d{1,18})\\s*\n");

  private BaseComment() {}

  static String line(long base) {
    return "# base: " + base;
  }

  static OptionalLong find(String text) {
    Matcher matcher = LINE.matcher(text);
    return matcher.lookingAt()
        ? OptionalLong.of(Long.parseLong(matcher.group(1)))
        : OptionalLong.empty();
  }
}
