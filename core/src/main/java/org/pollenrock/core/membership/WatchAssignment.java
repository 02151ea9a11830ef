package org.pollenrock.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.InstanceId;

/**
 * Divides work among routers by rendezvous hashing. Routers that know the same set of routers
 * compute the same assignment, and a router that joins or leaves changes only its own part of it.
 */
public final class WatchAssignment {
  /**
   * Number of routers per data centre that tail a log stream. The other routers receive the records
   * of the stream from them.
   */
  public static final int TAILERS_PER_STREAM = 2;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /** Router with its rendezvous weight for a subject. */
  private record Candidate(InstanceId router, long score) {}

  private static final Comparator<Candidate> BY_RANK =
      Comparator.comparingLong(Candidate::score).reversed().thenComparing(Candidate::router);

  private WatchAssignment() {}

  /**
   * Returns the routers with the highest rank for a subject.
   *
   * @param subject id of the server or name of the stream to be assigned
   * @param routers candidate routers
   * @param count maximum number of routers to return
   * @return at most {@code count} routers, the highest rank first
   */
  public static List<InstanceId> rank(String subject, Collection<InstanceId> routers, int count) {
    return routers.stream()
        .map(router -> new Candidate(router, score(subject, router)))
        .sorted(BY_RANK)
        .limit(count)
        .map(Candidate::router)
        .toList();
  }

  /**
   * Returns how many routers rank before a router for a subject.
   *
   * @param subject id of the server or name of the stream to be assigned
   * @param router the router
   * @param routers candidate routers
   * @return the number of candidates with a higher rank
   */
  public static int rankOf(String subject, InstanceId router, Collection<InstanceId> routers) {
    Candidate own = new Candidate(router, score(subject, router));
    return (int)
        routers.stream()
            .map(other -> new Candidate(other, score(subject, other)))
            .filter(other -> BY_RANK.compare(other, own) < 0)
            .count();
  }

  /**
   * Returns whether a router ranks before another one for a subject.
   *
   * @param subject id of the server or name of the stream to be assigned
   * @param first the router
   * @param second the other router
   * @return whether the first one has the higher rank
   */
  public static boolean isBefore(String subject, InstanceId first, InstanceId second) {
    return rankOf(subject, second, List.of(first)) > 0;
  }

  /**
   * Returns whether a router reads the cache events and reports of a server for its data centre.
   *
   * @param router id of the router
   * @param server id of the server
   * @param routers routers of the data centre among which the work is divided
   * @return true for exactly one of the given routers
   */
  public static boolean watches(
      InstanceId router, BackendServerId server, Collection<InstanceId> routers) {
    return rank(server.value(), routers, 1).contains(router);
  }

  /**
   * Returns whether a router tails a log stream itself.
   *
   * @param router id of the router
   * @param stream name of the stream
   * @param routers routers of the data centre among which the work is divided
   * @return true for at most {@link #TAILERS_PER_STREAM} of the given routers
   */
  public static boolean tails(InstanceId router, String stream, Collection<InstanceId> routers) {
    return rank(stream, routers, TAILERS_PER_STREAM).contains(router);
  }

  /** Returns the rendezvous weight of a router for a subject. */
  private static long score(String subject, InstanceId router) {
    long hash = fnv(fnv(FNV_OFFSET, subject) * FNV_PRIME, router.value());
    return mix(hash);
  }

  /** Continues an FNV-1a hash with the UTF-8 bytes of a text. */
  private static long fnv(long start, String text) {
    long hash = start;
    for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ (octet & 0xff)) * FNV_PRIME;
    }
    return hash;
  }

  /** Applies the finalizer of MurmurHash3. With FNV alone, similar names have similar high bits. */
  private static long mix(long hash) {
    long mixed = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
