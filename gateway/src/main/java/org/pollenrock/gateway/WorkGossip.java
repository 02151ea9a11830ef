package org.pollenrock.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.protocol.generated.ServerWork;

/**
 * Selects the gossip about this instance's work at servers.
 *
 * <p>Work is the number of requests at a server and of their unread tokens, which are the prompt
 * tokens that the server has not processed yet. Only work whose prompts take a server noticeable
 * time to read is announced.
 */
final class WorkGossip {
  /** Change of unread tokens that is announced; an engine reads as many in about 50 ms. */
  private static final long MIN_CHANGE_TOKENS = 4_000;

  /** Age at which unchanged work is announced again; peers discard it at twice this age. */
  private static final long REPEAT_INTERVAL_NANOS = 500_000_000L;

  /** Work that was last announced for a server, and when. */
  private record Announcement(long unreadTokens, long announcedNanos) {}

  private final Map<Backend, Announcement> announcements = new HashMap<>();

  /**
   * Starts to track a server if the work at it has changed enough since the last announcement;
   * called after a request was assigned to the server.
   *
   * @return whether an announcement is due
   */
  boolean trackIfChanged(Backend backend) {
    Announcement previous = announcements.get(backend);
    long announcedTokens = previous == null ? 0 : previous.unreadTokens();
    if (backend.ownUnreadTokens() - announcedTokens < MIN_CHANGE_TOKENS) {
      return false;
    }
    announcements.putIfAbsent(
        backend, new Announcement(0, System.nanoTime() - REPEAT_INTERVAL_NANOS));
    return true;
  }

  /** Returns whether there are servers whose work has to be announced or reported as finished. */
  boolean hasTrackedServers() {
    return !announcements.isEmpty();
  }

  /** Returns the messages that are due now, and treats them as announced. */
  List<ServerWork> takeDueMessages() {
    long now = System.nanoTime();
    List<ServerWork> messages = new ArrayList<>();
    for (Iterator<Map.Entry<Backend, Announcement>> entries = announcements.entrySet().iterator();
        entries.hasNext(); ) {
      Map.Entry<Backend, Announcement> entry = entries.next();
      Backend backend = entry.getKey();
      long ownUnreadTokens = backend.ownUnreadTokens();
      boolean finished = ownUnreadTokens < MIN_CHANGE_TOKENS;
      long change = Math.abs(ownUnreadTokens - entry.getValue().unreadTokens());
      if (!finished
          && change < MIN_CHANGE_TOKENS
          && now - entry.getValue().announcedNanos() < REPEAT_INTERVAL_NANOS) {
        continue;
      }
      messages.add(
          ServerWork.newBuilder()
              .setServer(backend.idHash())
              .setRequests(finished ? 0 : backend.inFlightCount())
              .setUnreadTokens(finished ? 0 : ownUnreadTokens)
              .build());
      if (finished) {
        entries.remove();
      } else {
        entry.setValue(new Announcement(ownUnreadTokens, now));
      }
    }
    return messages;
  }
}
