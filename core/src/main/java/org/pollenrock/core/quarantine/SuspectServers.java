package org.pollenrock.core.quarantine;

import java.util.List;
import java.util.Optional;
import org.pollenrock.core.collection.BoundedMap;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.dispatch.PromptPart;

/**
 * Parts of prompts that were running at servers whose connections broke, until it is known whether
 * the servers have ended.
 */
final class SuspectServers {
  /** Maximum number of suspect parts per server. */
  private static final int MAX_SUSPECTS = 1_024;

  private final BoundedMap<Long, SuspectServer> servers =
      new BoundedMap<>(CrashQuarantine.MAX_SERVERS);

  /**
   * Part of the prompt of a broken send.
   *
   * @param part hash of the part
   * @param partId id of the part
   * @param nanos time at which the send broke
   */
  record Suspect(long part, String partId, long nanos) {}

  /** Suspect parts of a server, and whether the server has ended. */
  private static final class SuspectServer {
    private final BoundedMap<Long, Suspect> suspects = new BoundedMap<>(MAX_SUSPECTS);
    private Optional<Long> endedNanos = Optional.empty();

    /** Removes the suspects and returns the recent ones. */
    private List<Suspect> takeRecent(long nowNanos) {
      List<Suspect> recent =
          suspects.values().stream()
              .filter(each -> nowNanos - each.nanos() <= CrashQuarantine.CONFIRMATION_NANOS)
              .toList();
      suspects.clear();
      return recent;
    }
  }

  /** Records a broken send; returns the parts that the end of the server strikes now. */
  List<Suspect> recordBroken(long server, Prompt prompt, long nowNanos) {
    if (prompt.sharedParts().isEmpty()) {
      return List.of();
    }
    SuspectServer suspect = servers.computeIfAbsent(server, key -> new SuspectServer());
    for (PromptPart part : prompt.sharedParts()) {
      long hash = CrashQuarantine.hash(prompt.model(), part.id());
      suspect.suspects.put(hash, new Suspect(hash, part.id(), nowNanos));
    }
    boolean ended =
        suspect
            .endedNanos
            .filter(nanos -> nowNanos - nanos <= CrashQuarantine.CONFIRMATION_NANOS)
            .isPresent();
    return ended ? suspect.takeRecent(nowNanos) : List.of();
  }

  /** Records the end of a server; returns the parts that it strikes now. */
  List<Suspect> recordEnded(long server, long nowNanos) {
    SuspectServer suspect = servers.computeIfAbsent(server, key -> new SuspectServer());
    suspect.endedNanos = Optional.of(nowNanos);
    return suspect.takeRecent(nowNanos);
  }

  /** Returns the number of servers about which something is stored. */
  int size() {
    return servers.size();
  }
}
