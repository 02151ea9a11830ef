package org.pollenrock.core.dispatch;

import java.util.IdentityHashMap;
import java.util.Map;
import org.pollenrock.core.fleet.Backend;

/** Tokens of one prompt's prefix that servers keep. */
final class CachedPrefixLengths {
  private final Map<Backend, Integer> lengths = new IdentityHashMap<>();
  private int longest;

  /** A server keeps a prefix of some length. */
  void recordLength(Backend server, int length) {
    lengths.merge(server, length, Math::max);
    longest = Math.max(longest, length);
  }

  /** Longest prefix that any server is known to keep, in tokens. */
  int most() {
    return longest;
  }

  /** Longest prefix that a server is known to keep, in tokens; 0 when it keeps none. */
  int on(Backend server) {
    return lengths.getOrDefault(server, 0);
  }
}
