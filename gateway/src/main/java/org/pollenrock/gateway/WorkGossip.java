package org.pollenrock.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.protocol.generated.ServerWork;

/**
 * Which of this instance's work at servers other instances should be told of: prompts that take a
 * server noticeable time to read.
 */
final class WorkGossip {
  /** Change of unread tokens that is told; an engine reads so many in about 50 ms. */
  private static final long MIN_CHANGE_TOKENS = 4_000;

  /** Age at which unchanged work is told again, half of the age at which it is forgotten. */
  private static final long REPEAT_INTERVAL_NANOS = 500_000_000L;

  private record Announcement(long unreadTokens, long announcedNanos) {}

  private final Map<Backend, Announcement> announcements = new HashMap<>();

  /** A request went out to a server; gives whether others should hear of it. */
  boolean trackIfChanged(Backend backend) {
    Announcement before = announcements.get(backend);
    long known = before == null ? 0 : before.unreadTokens();
    if (backend.ownUnreadTokens() - known < MIN_CHANGE_TOKENS) {
      return false;
    }
    announcements.putIfAbsent(
        backend, new Announcement(0, System.nanoTime() - REPEAT_INTERVAL_NANOS));
    return true;
  }

  /** Whether there is work that must be told again or told to be over. */
  boolean isPending() {
    return !announcements.isEmpty();
  }

  /** Takes what is to be told now. */
  List<ServerWork> takeDueMessages() {
    long now = System.nanoTime();
    List<ServerWork> news = new ArrayList<>();
    for (Iterator<Map.Entry<Backend, Announcement>> all = announcements.entrySet().iterator();
        all.hasNext(); ) {
      Map.Entry<Backend, Announcement> entry = all.next();
      Backend backend = entry.getKey();
      long unread = backend.ownUnreadTokens();
      boolean over = unread < MIN_CHANGE_TOKENS;
      long change = Math.abs(unread - entry.getValue().unreadTokens());
      if (!over
          && change < MIN_CHANGE_TOKENS
          && now - entry.getValue().announcedNanos() < REPEAT_INTERVAL_NANOS) {
        continue;
      }
      news.add(
          ServerWork.newBuilder()
              .setServer(backend.idHash())
              .setRequests(over ? 0 : backend.inFlight())
              .setUnreadTokens(over ? 0 : unread)
              .build());
      if (over) {
        all.remove();
      } else {
        entry.setValue(new Announcement(unread, now));
      }
    }
    return news;
  }
}
