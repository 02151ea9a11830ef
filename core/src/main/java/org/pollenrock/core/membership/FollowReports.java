package org.pollenrock.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.model.InstanceId;

/**
 * Records which instances follow the cache events of which servers, and decides which servers this
 * instance has to follow itself.
 *
 * <p>The instances are ranked for each server by rendezvous hashing. The first one follows the
 * server. One that follows it gives up once a higher ranked instance reports that it does. If
 * nobody reports for some time, the next instances take over in the order of their rank. So
 * instances that know different lists of instances, or one that does not reach the server, neither
 * leave a server without a follower nor follow it together for long. Reports may be lost: a server
 * then has two followers until the next report.
 */
public final class FollowReports {
  /**
   * Time without a report after which the instance of the next rank follows a server, in
   * nanoseconds; reports are sent each second.
   */
  public static final long SILENCE_NANOS = 1_700_000_000L;

  /** Number of instances that follow a server if the ones before them do not. */
  private static final int MAX_RANK = 3;

  /**
   * Silence before instances of another data centre follow a server, as a multiple of {@link
   * #SILENCE_NANOS}; they hear reports less often.
   */
  private static final int FOREIGN_SILENCE_FACTOR = 4;

  /** Time for which reports are kept, in nanoseconds. */
  private static final long KEPT_NANOS = 30_000_000_000L;

  /** What is known of one server. */
  private static final class Followed {
    private final Map<InstanceId, Long> reportNanos = new HashMap<>();
    private Optional<CachePosition> position = Optional.empty();
    private long lastReportNanos;
  }

  private final Map<Long, Followed> servers = new HashMap<>();

  /** Creates an empty record. */
  public FollowReports() {}

  /**
   * Records that another instance reports to follow a server.
   *
   * @param server hash of the server
   * @param instance the instance
   * @param nowNanos current time
   */
  public void recordReport(long server, InstanceId instance, long nowNanos) {
    Followed followed = servers.computeIfAbsent(server, added -> new Followed());
    followed.reportNanos.put(instance, nowNanos);
    followed.lastReportNanos = nowNanos;
  }

  /**
   * Records up to where another instance has read the events of a server; it also counts as a
   * report.
   *
   * @param server hash of the server
   * @param position the position
   * @param instance the instance
   * @param nowNanos current time
   */
  public void recordPosition(
      long server, CachePosition position, InstanceId instance, long nowNanos) {
    recordReport(server, instance, nowNanos);
    servers.get(server).position = Optional.of(position);
  }

  /**
   * Returns up to where the events of a server were last read by another instance.
   *
   * @param server hash of the server
   * @return the position, if one was reported recently
   */
  public Optional<CachePosition> position(long server) {
    return Optional.ofNullable(servers.get(server)).flatMap(followed -> followed.position);
  }

  /**
   * Returns whether another instance has reported recently that it follows a server.
   *
   * @param server hash of the server
   * @param maxAgeNanos maximum age of the report
   * @param nowNanos current time
   * @return whether there is such a report
   */
  public boolean isReported(long server, long maxAgeNanos, long nowNanos) {
    Followed followed = servers.get(server);
    return followed != null && nowNanos - followed.lastReportNanos <= maxAgeNanos;
  }

  /**
   * Returns whether this instance has to follow a server.
   *
   * @param server hash of the server
   * @param subject name under which the instances are ranked for the server
   * @param self this instance
   * @param candidates instances among which the server is assigned
   * @param foreign whether the candidates are of another data centre than the server
   * @param following whether this instance follows the server now
   * @param knownSinceNanos time since which this instance knows the server
   * @param nowNanos current time
   * @return whether to follow it
   */
  public boolean shouldFollow(
      long server,
      String subject,
      InstanceId self,
      Collection<InstanceId> candidates,
      boolean foreign,
      boolean following,
      long knownSinceNanos,
      long nowNanos) {
    if (!candidates.contains(self)) {
      return false;
    }
    Followed followed = servers.get(server);
    if (followed != null && isFollowedByHigherRank(followed, subject, self, candidates, nowNanos)) {
      return false;
    }
    int rank = WatchAssignment.rankOf(subject, self, candidates);
    if (following || rank == 0 && !foreign) {
      return true;
    }
    long silentSinceNanos =
        followed != null && followed.lastReportNanos - knownSinceNanos > 0
            ? followed.lastReportNanos
            : knownSinceNanos;
    long steps = rank + (foreign ? FOREIGN_SILENCE_FACTOR : 0);
    return rank < MAX_RANK && nowNanos - silentSinceNanos > steps * SILENCE_NANOS;
  }

  private static boolean isFollowedByHigherRank(
      Followed followed,
      String subject,
      InstanceId self,
      Collection<InstanceId> candidates,
      long nowNanos) {
    return followed.reportNanos.entrySet().stream()
        .filter(report -> nowNanos - report.getValue() <= SILENCE_NANOS)
        .map(Map.Entry::getKey)
        .anyMatch(
            other -> candidates.contains(other) && WatchAssignment.isBefore(subject, other, self));
  }

  /**
   * Drops old reports.
   *
   * @param nowNanos current time
   */
  public void sweep(long nowNanos) {
    servers
        .values()
        .removeIf(
            followed -> {
              followed.reportNanos.values().removeIf(nanos -> nowNanos - nanos > SILENCE_NANOS);
              return nowNanos - followed.lastReportNanos > KEPT_NANOS;
            });
  }
}
