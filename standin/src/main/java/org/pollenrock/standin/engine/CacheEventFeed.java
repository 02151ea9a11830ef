package org.pollenrock.standin.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;

/** Cache events of one incarnation, shown after a lag, with entries that can be lost. */
final class CacheEventFeed {
  private static final int KEPT_EVENTS = 50_000;

  private final ObjectMapper json = new ObjectMapper();
  private final long lagNanos;
  private final Deque<Event> events = new ArrayDeque<>();
  private long sequence;
  private int toLose;

  CacheEventFeed(long lagNanos) {
    this.lagNanos = lagNanos;
  }

  private record Event(long sequence, boolean stored, String key, long atNanos) {}

  void add(boolean stored, String key, long nowNanos) {
    sequence++;
    if (toLose > 0) {
      toLose--;
      return;
    }
    events.addLast(new Event(sequence, stored, key, nowNanos));
    if (events.size() > KEPT_EVENTS) {
      events.removeFirst();
    }
  }

  void lose(int count) {
    toLose += count;
  }

  void reset() {
    events.clear();
    sequence = 0;
  }

  String page(long after, int most, long incarnation, long nowNanos) {
    ObjectNode page = json.createObjectNode();
    page.put("incarnation", incarnation);
    ArrayNode list = page.putArray("events");
    long last = after;
    for (Event event : events) {
      boolean visible = event.atNanos + lagNanos <= nowNanos;
      if (!visible || list.size() >= most) {
        break;
      }
      if (event.sequence <= after) {
        continue;
      }
      ObjectNode entry = list.addObject();
      entry.put("seq", event.sequence);
      entry.put("kind", event.stored ? "stored" : "evicted");
      entry.put("key", event.key);
      last = event.sequence;
    }
    page.put("first", events.isEmpty() ? sequence + 1 : events.getFirst().sequence);
    page.put("last", last);
    return page.toString();
  }
}
