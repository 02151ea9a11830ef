package org.pollenrock.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.pollenrock.core.collection.BoundedMap;

/**
 * Requests and parts of their prompts that were running at servers whose connections broke, until
 * it is known whether the servers have ended.
 */
final class SuspectServers {
  /** Maximum number of suspects per server. */
  private static final int MAX_SUSPECTS = 1_024;

  private final BoundedMap<Long, SuspectServer> servers =
      new BoundedMap<>(CrashQuarantine.MAX_SERVERS);

  private Optional<Long> lastBrokenNanos = Optional.empty();

  /**
   * Suspect of a broken send.
   *
   * @param suspect the request, or a part of its prompt
   * @param sentNanos time of the send
   * @param nanos time at which the send broke
   */
  record BrokenSend(CrashSuspects.Suspect suspect, long sentNanos, long nanos) {}

  /** Suspect parts of a server, and whether the server has ended. */
  private static final class SuspectServer {
    private final BoundedMap<Long, BrokenSend> suspects = new BoundedMap<>(MAX_SUSPECTS);
    private Optional<Long> endedNanos = Optional.empty();

    /** Removes the suspects and returns the recent ones, requests first: they may explain parts. */
    private List<BrokenSend> takeRecent(long nowNanos) {
      List<BrokenSend> recent =
          suspects.values().stream()
              .filter(each -> nowNanos - each.nanos() <= CrashQuarantine.CONFIRMATION_NANOS)
              .sorted(Comparator.comparing(each -> !CrashSuspects.isRequest(each.suspect().hash())))
              .toList();
      suspects.clear();
      return recent;
    }
  }

  /** Records a broken send; returns the suspects that the end of the server strikes now. */
  List<BrokenSend> recordBroken(
      long server, CrashSuspects suspects, long sentNanos, long nowNanos) {
    lastBrokenNanos = Optional.of(nowNanos);
    List<CrashSuspects.Suspect> all = new ArrayList<>(suspects.parts());
    suspects.request().ifPresent(all::add);
    if (all.isEmpty()) {
      return List.of();
    }
    SuspectServer suspect = servers.computeIfAbsent(server, key -> new SuspectServer());
    for (CrashSuspects.Suspect each : all) {
      suspect.suspects.put(each.hash(), new BrokenSend(each, sentNanos, nowNanos));
    }
    boolean ended =
        suspect
            .endedNanos
            .filter(nanos -> nowNanos - nanos <= CrashQuarantine.CONFIRMATION_NANOS)
            .isPresent();
    return ended ? suspect.takeRecent(nowNanos) : List.of();
  }

  /** Records the end of a server; returns the suspects that it strikes now. */
  List<BrokenSend> recordEnded(long server, long nowNanos) {
    SuspectServer suspect = servers.computeIfAbsent(server, key -> new SuspectServer());
    suspect.endedNanos = Optional.of(nowNanos);
    return suspect.takeRecent(nowNanos);
  }

  /** Returns whether a send broke so recently that its server may yet be found to have ended. */
  boolean isAnyRecent(long nowNanos) {
    return lastBrokenNanos
        .filter(nanos -> nowNanos - nanos <= CrashQuarantine.CONFIRMATION_NANOS)
        .isPresent();
  }

  /** Returns the number of servers about which something is stored. */
  int size() {
    return servers.size();
  }
}
