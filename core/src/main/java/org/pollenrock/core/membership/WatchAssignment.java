package org.pollenrock.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.InstanceId;

/**
 * Divides work among routers by rendezvous hashing: routers that see the same set agree, and a
 * router that joins or leaves moves only its own part.
 */
public final class WatchAssignment {
  /** Routers of a data centre that tail a log stream; the others receive its records from them. */
  public static final int TAILERS_PER_STREAM = 2;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private WatchAssignment() {}

  /**
   * Routers in the order of their rank for a subject.
   *
   * @param subject what is to be watched
   * @param routers the candidates
   * @param count how many are wanted
   * @return at most that many, highest rank first
   */
  public static List<InstanceId> rank(String subject, Collection<InstanceId> routers, int count) {
    return routers.stream()
        .sorted(
            Comparator.comparingLong((InstanceId router) -> score(subject, router))
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .limit(count)
        .toList();
  }

  /**
   * Whether a router reads the cache events and reports of a server on behalf of its data centre.
   *
   * @param router the router
   * @param server the server
   * @param workers routers of the data centre that share the work
   * @return true for exactly one of the workers
   */
  public static boolean watches(
      InstanceId router, BackendServerId server, Collection<InstanceId> workers) {
    return rank(server.value(), workers, 1).contains(router);
  }

  /**
   * Whether a router tails a log stream itself.
   *
   * @param router the router
   * @param stream name of the stream
   * @param workers routers of the data centre that share the work
   * @return true for at most {@link #TAILERS_PER_STREAM} of the workers
   */
  public static boolean tails(InstanceId router, String stream, Collection<InstanceId> workers) {
    return rank(stream, workers, TAILERS_PER_STREAM).contains(router);
  }

  private static long score(String subject, InstanceId router) {
    long hash = fnv(fnv(FNV_OFFSET, subject) * FNV_PRIME, router.value());
    return mix(hash);
  }

  private static long fnv(long start, String text) {
    long hash = start;
    for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
    }
    return hash;
  }

  /** Finalizer of MurmurHash3: FNV alone leaves the high bits of similar names similar. */
  private static long mix(long hash) {
    long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
