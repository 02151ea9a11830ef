package org.pollenrock.router.filter;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Text form of server-sent events. */
final class EventText {
  private EventText() {}

  static byte[] of(Optional<String> id, String data) {
    StringBuilder text = new StringBuilder(data.length() + 32);
    id.ifPresent(value -> text.append("id: ").append(value).append('\n'));
    int start = 0;
    int end = data.indexOf('\n');
    while (end >= 0) {
      text.append("data: ").append(data, start, end).append('\n');
      start = end + 1;
      end = data.indexOf('\n', start);
    }
    text.append("data: ").append(data, start, data.length()).append("\n\n");
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }
}
