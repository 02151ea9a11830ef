package org.pollenrock.core.ratelimit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.pollenrock.core.fleet.Backend;

/**
 * The request rates that servers name in their responses, which all instances together must not
 * exceed.
 *
 * <p>An instance that has learned of a limit, from a response or from another instance, sends the
 * server only its share of the rate, see {@link RateShares}. Most instances of a large fleet have
 * none. An instance without a share sends a single trial request when nobody has told of the limit
 * for long, so that the server gets requests again even if the end of the limit was missed.
 *
 * <p>Every request to a server counts, whatever it is sent for: {@link #maySend} is asked before,
 * and {@link #recordSend} is called when the server has been chosen.
 */
public final class ServerRateLimits {
  /**
   * Time by which announcements may be late. The end of a limit does not outweigh a limit that was
   * seen within this time before.
   */
  private static final long MAX_TRANSIT_NANOS = 500_000_000L;

  /** Time for which the limit of an unlisted server is kept, since its entry may come back. */
  private static final long UNLISTED_RETENTION_NANOS = 60_000_000_000L;

  /** Maximum number of servers whose limits are kept; more are ignored. */
  private static final int MAX_SERVERS = 4_096;

  /** Maximum number of announcements at a time, so that they fit into a datagram of usual size. */
  static final int MAX_ANNOUNCEMENTS = 40;

  /** Receives the limits that begin and end. */
  public interface Listener {
    /**
     * Called when a limit begins or ends.
     *
     * @param server hash of the server's identity
     * @param notice the limit, or its end
     * @param announced whether another instance has told of it
     */
    void rateChanged(long server, RateNotice notice, boolean announced);
  }

  /**
   * One incarnation of a server.
   *
   * @param server hash of the server's identity
   * @param startMillis Unix time of its start in milliseconds
   */
  private record Incarnation(long server, long startMillis) {
    private static Incarnation of(Backend server) {
      return new Incarnation(server.idHash(), server.entry().startMillis());
    }
  }

  private final RateShares shares;
  private final Listener listener;
  private final Map<Incarnation, ServerRateState> rates = new HashMap<>();

  /**
   * Creates the limits of servers that have named none.
   *
   * @param shares shares of this instance
   * @param listener receives the limits that begin and end
   */
  public ServerRateLimits(RateShares shares, Listener listener) {
    this.shares = shares;
    this.listener = listener;
  }

  /**
   * Records the notice of a response. A response without a limit ends one only if its request was
   * sent after the limit was last named, since responses may overtake each other.
   *
   * @param server the server
   * @param notice the notice
   * @param sentNanos time at which the request was sent
   * @param nowNanos current time
   */
  public void recordNotice(Backend server, RateNotice notice, long sentNanos, long nowNanos) {
    Incarnation incarnation = Incarnation.of(server);
    boolean changed =
        switch (notice) {
          case RateNotice.Limited(double requestsPerSecond) ->
              hasRoomFor(incarnation)
                  && rateOf(incarnation, nowNanos)
                      .recordOwnNotice(OptionalDouble.of(requestsPerSecond), nowNanos, nowNanos);
          case RateNotice.Unlimited() ->
              rates.containsKey(incarnation)
                  && rateOf(incarnation, nowNanos)
                      .recordOwnNotice(OptionalDouble.empty(), sentNanos, nowNanos);
          case RateNotice.Unknown() -> false;
        };
    if (changed) {
      listener.rateChanged(incarnation.server(), notice, false);
    }
  }

  /**
   * Applies what another instance has announced.
   *
   * @param announcement the announcement
   * @param nowNanos current time
   */
  public void applyAnnouncement(RateAnnouncement announcement, long nowNanos) {
    Incarnation incarnation = new Incarnation(announcement.server(), announcement.startMillis());
    long atNanos = nowNanos - announcement.ageNanos();
    boolean changed =
        switch (announcement.notice()) {
          case RateNotice.Limited(double requestsPerSecond) ->
              hasRoomFor(incarnation)
                  && rateOf(incarnation, nowNanos)
                      .applyPeerNotice(OptionalDouble.of(requestsPerSecond), atNanos, nowNanos);
          case RateNotice.Unlimited() ->
              rates.containsKey(incarnation)
                  && rateOf(incarnation, nowNanos)
                      .applyPeerNotice(
                          OptionalDouble.empty(), atNanos - MAX_TRANSIT_NANOS, nowNanos);
          case RateNotice.Unknown() -> false;
        };
    if (changed) {
      listener.rateChanged(incarnation.server(), announcement.notice(), true);
    }
  }

  /**
   * Returns whether a request may be sent to a server now.
   *
   * @param server the server
   * @param nowNanos current time
   * @return whether the server names no limit, or this instance has a request of its share left
   */
  public boolean maySend(Backend server, long nowNanos) {
    if (rates.isEmpty()) {
      return true;
    }
    ServerRateState rate = rates.get(Incarnation.of(server));
    return rate == null || rate.maySend(nowNanos);
  }

  /**
   * Returns the servers to which a request may be sent now.
   *
   * @param servers the servers
   * @param nowNanos current time
   * @return those of them, in the same order
   */
  public List<Backend> withinRate(List<Backend> servers, long nowNanos) {
    return rates.isEmpty()
        ? servers
        : servers.stream().filter(server -> maySend(server, nowNanos)).toList();
  }

  /**
   * Records that a request is sent to a server.
   *
   * @param server the server
   * @param nowNanos current time
   */
  public void recordSend(Backend server, long nowNanos) {
    if (!rates.isEmpty()) {
      ServerRateState rate = rates.get(Incarnation.of(server));
      if (rate != null) {
        rate.recordSend(nowNanos);
      }
    }
  }

  /**
   * Takes what has to be announced to all other instances now.
   *
   * @param nowNanos current time
   * @return the announcements; at most {@value #MAX_ANNOUNCEMENTS}, the others follow with the next
   *     call
   */
  public List<RateAnnouncement> takeAnnouncements(long nowNanos) {
    if (rates.isEmpty()) {
      return List.of();
    }
    List<RateAnnouncement> announcements = new ArrayList<>();
    rates.forEach(
        (incarnation, rate) -> {
          if (announcements.size() < MAX_ANNOUNCEMENTS && rate.takeAnnouncement(nowNanos)) {
            announcements.add(
                new RateAnnouncement(
                    incarnation.server(),
                    incarnation.startMillis(),
                    rate.notice(),
                    nowNanos - rate.noticeNanos()));
          }
        });
    return announcements;
  }

  /**
   * Forgets the limits that have ended, and those of servers that are no longer listed.
   *
   * @param listed the listed servers
   * @param nowNanos current time
   */
  public void removeOutdated(Collection<Backend> listed, long nowNanos) {
    if (rates.isEmpty()) {
      return;
    }
    Set<Incarnation> listedIncarnations = new HashSet<>();
    listed.forEach(server -> listedIncarnations.add(Incarnation.of(server)));
    rates
        .entrySet()
        .removeIf(
            entry ->
                entry.getValue().isOver(nowNanos)
                    || !listedIncarnations.contains(entry.getKey())
                        && entry.getValue().learnedAgeNanos(nowNanos) >= UNLISTED_RETENTION_NANOS);
  }

  /**
   * Returns the number of servers that name a limit.
   *
   * @return the number
   */
  public int limitedServerCount() {
    return (int) rates.values().stream().filter(ServerRateState::isLimited).count();
  }

  /**
   * Returns this instance's part of the rate of a server.
   *
   * @param server hash of the server's identity
   * @return requests a second; empty if the server names no limit
   */
  public OptionalDouble ownRate(long server) {
    return rates.entrySet().stream()
        .filter(entry -> entry.getKey().server() == server && entry.getValue().isLimited())
        .mapToDouble(entry -> entry.getValue().ownRate())
        .findFirst();
  }

  private boolean hasRoomFor(Incarnation incarnation) {
    return rates.size() < MAX_SERVERS || rates.containsKey(incarnation);
  }

  private ServerRateState rateOf(Incarnation incarnation, long nowNanos) {
    return rates.computeIfAbsent(
        incarnation, added -> new ServerRateState(shares, added.server(), nowNanos));
  }
}
