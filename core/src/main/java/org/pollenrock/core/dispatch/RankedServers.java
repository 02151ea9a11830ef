package org.pollenrock.core.dispatch;

import java.util.List;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.placement.RendezvousHash;

/** Ranks the servers for a prefix by rendezvous hashing. */
final class RankedServers {
  private RankedServers() {}

  /** Returns the server that ranks first for a prefix; null if there are no servers. */
  static Backend highest(List<Backend> servers, long affinityHash) {
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
}
