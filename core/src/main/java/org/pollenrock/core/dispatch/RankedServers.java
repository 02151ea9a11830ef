package org.pollenrock.core.dispatch;

import java.util.List;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Ranks the servers for a prefix by rendezvous hashing, weighted by their shares of homes. A change
 * of one server's share moves only prefixes from or to this server.
 */
final class RankedServers {
  /** Bits of a hash that a double does not hold. */
  private static final int HASH_SHIFT = 11;

  /** Distance of two hashes without these bits, for a range of hashes from 0 to 1. */
  private static final double HASH_UNIT = 0x1p-53;

  private RankedServers() {}

  /** Returns the server that ranks first for a prefix; null if there are no servers. */
  static Backend highest(List<Backend> servers, long affinityHash) {
    for (Backend server : servers) {
      if (server.speed().homeShare() != 1) {
        return highestWeighted(servers, affinityHash);
      }
    }
    Backend highest = null;
    long highestWeight = 0;
    for (Backend server : servers) {
      long weight = RendezvousHash.mix(affinityHash ^ server.idHash());
      if (highest == null || Long.compareUnsigned(weight, highestWeight) > 0) {
        highest = server;
        highestWeight = weight;
      }
    }
    return highest;
  }

  private static Backend highestWeighted(List<Backend> servers, long affinityHash) {
    Backend highest = null;
    double highestScore = 0;
    for (Backend server : servers) {
      long hash = RendezvousHash.mix(affinityHash ^ server.idHash());
      double uniform = ((hash >>> HASH_SHIFT) + 0.5) * HASH_UNIT;
      double score = -server.speed().homeShare() / Math.log(uniform);
      if (highest == null || score > highestScore) {
        highest = server;
        highestScore = score;
      }
    }
    return highest;
  }
}
