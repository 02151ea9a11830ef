package org.pollenrock.core.dispatch;

import java.util.IdentityHashMap;
import java.util.Map;
import org.pollenrock.core.fleet.Backend;

/** Lengths of the cached prefix of one prompt, by server. */
final class CachedPrefixLengths {
  private final Map<Backend, Integer> lengths = new IdentityHashMap<>();
  private int longest;

  /** Records that a server has cached a prefix of the given length in tokens. */
  void recordLength(Backend server, int length) {
    lengths.merge(server, length, Math::max);
    longest = Math.max(longest, length);
  }

  /** Returns the longest prefix that any server is known to have cached, in tokens. */
  int longest() {
    return longest;
  }

  /** Returns the longest prefix that a server is known to have cached, in tokens; 0 if none. */
  int on(Backend server) {
    return lengths.getOrDefault(server, 0);
  }
}
