package org.pollenrock.gateway;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;
import java.util.function.LongSupplier;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.QuarantineListener;
import org.pollenrock.protocol.generated.FleetNews;
import org.pollenrock.protocol.generated.PartEvent;
import org.pollenrock.protocol.generated.PartStrike;

/**
 * Exchanges strikes, clearings and quarantines of requests and parts of prompts with the other
 * instances. What is said of parts holds for requests too.
 *
 * <p>Strikes and clearings are sent to all instances at once and repeated, since datagrams may be
 * lost; of many instances that find the same part sound, few send a clearing. Quarantined parts are
 * added to other gossip, and are sent to one instance after the other, so that one that has missed
 * the strikes learns them too, and tells others at once. Times are sent as ages, since the clocks
 * of instances differ.
 *
 * <p>All methods must be called on the event loop.
 */
public final class QuarantineGossip implements QuarantineListener {
  /** Time for which strikes and clearings are batched before they are sent for the first time. */
  private static final long BATCH_MILLIS = 10;

  /** Time after each sending of a strike or a clearing until it is sent again, at most. */
  private static final long[] REPEAT_MILLIS = {250, 750};

  /** Minimum time between two rounds to all instances. */
  private static final long MIN_ROUND_MILLIS = 100;

  /**
   * Minimum time between two rounds for each receiver, so that an instance sends at most a thousand
   * datagrams a second.
   */
  private static final long ROUND_MILLIS_PER_PEER = 1;

  /**
   * Range of the delays, for each peer, after which instances send a clearing. Requests with a part
   * in wide use complete at all instances at once; an instance that hears of a clearing before its
   * own is due does not send it.
   */
  private static final long CLEARING_SPREAD_MILLIS_PER_PEER = 1;

  /** Interval at which quarantined parts are sent to the next instances. */
  private static final long QUARANTINED_INTERVAL_MILLIS = 1_000;

  /** Number of instances to which quarantined parts are sent at a time. */
  private static final int QUARANTINED_RECIPIENTS = 3;

  /** Time after which an instance that was told of a quarantine tells the next instances. */
  private static final long FORWARD_MILLIS = 50;

  /** Maximum number of strikes and clearings in a datagram, so that it fits into a usual packet. */
  static final int MAX_EVENTS = 40;

  /** Maximum number of quarantined parts in a datagram. */
  static final int MAX_QUARANTINED = 16;

  /** Maximum number of own strikes and clearings that are kept; the oldest leave first. */
  private static final int MAX_PENDING = 256;

  /** Sends a message to instances. */
  interface Sender {
    /** Sends a message as one datagram to each recipient. */
    void send(FleetNews.Builder message, List<InetSocketAddress> recipients);
  }

  /** Something to be sent several times. */
  private sealed interface Event {
    /**
     * Strike that this instance found.
     *
     * @param strike the strike
     */
    record Struck(CrashQuarantine.Strike strike) implements Event {}

    /**
     * Clearing that this instance found.
     *
     * @param part hash of the part
     * @param nanos time of the completion
     */
    record Cleared(long part, long nanos) implements Event {}

    /**
     * Trial of a quarantined part by this instance.
     *
     * @param part hash of the part
     * @param nanos time of the send
     */
    record Tried(long part, long nanos) implements Event {}
  }

  /**
   * Event with its next sending.
   *
   * @param event the event
   * @param sendCount how often it was sent
   * @param dueNanos time of the next sending
   */
  private record Pending(Event event, int sendCount, long dueNanos) {}

  private final EventLoop loop;
  private final CrashQuarantine quarantine;
  private final int position;
  private final LongSupplier clock;
  private final Sender sender;
  private final Deque<Pending> pending = new ArrayDeque<>();

  /** Parts of the last strikes that this instance found itself. */
  private final Deque<Long> ownStruckParts = new ArrayDeque<>();

  private List<InetSocketAddress> peers = List.of();
  private BiConsumer<Long, String> ownQuarantines = (part, partId) -> {};
  private LongConsumer ownReleases = part -> {};
  private boolean flushScheduled;
  private long nextRoundNanos;
  private boolean applying;
  private boolean forwardScheduled;
  private int nextPeer;
  private int nextQuarantined;

  /**
   * Creates gossip without peers.
   *
   * @param loop event loop
   * @param quarantine the quarantine, whose announcements this object receives
   * @param position number that distinguishes this instance; selects the peer that is told of
   *     quarantined parts first, and the delay of clearings
   * @param clock current time in nanoseconds, as passed to the quarantine
   * @param sender sends the messages
   */
  QuarantineGossip(
      EventLoop loop, CrashQuarantine quarantine, int position, LongSupplier clock, Sender sender) {
    this.loop = loop;
    this.clock = clock;
    this.nextRoundNanos = clock.getAsLong();
    this.quarantine = quarantine;
    this.position = position;
    this.nextPeer = position;
    this.sender = sender;
  }

  /** Starts to send quarantined parts periodically. */
  void start() {
    loop.scheduleWithFixedDelay(
        this::announceQuarantined,
        QUARANTINED_INTERVAL_MILLIS,
        QUARANTINED_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Replaces the addresses of all other instances. */
  void updatePeers(List<InetSocketAddress> addresses) {
    List<InetSocketAddress> shuffled = new ArrayList<>(addresses);
    // Instances that took the same order would tell the same ones at the same time.
    Collections.shuffle(shuffled, new Random(position));
    peers = List.copyOf(shuffled);
  }

  /**
   * Sets what is called when a part has been quarantined of which this instance has found a strike
   * itself. Few instances have, but in general more than one, so that the quarantine is stored even
   * if one of them ends.
   *
   * @param listener receives the hash and the id of the part
   */
  public void onOwnQuarantine(BiConsumer<Long, String> listener) {
    ownQuarantines = listener;
  }

  /**
   * Sets what is called when a request of this instance has ended the quarantine of a part.
   *
   * @param listener receives the hash of the part
   */
  public void onOwnRelease(LongConsumer listener) {
    ownReleases = listener;
  }

  @Override
  public void struck(CrashQuarantine.Strike strike) {
    if (ownStruckParts.size() >= MAX_PENDING) {
      ownStruckParts.removeFirst();
    }
    ownStruckParts.addLast(strike.part());
    add(new Event.Struck(strike), 0);
  }

  @Override
  public void cleared(long part, long nanos) {
    pending.removeIf(
        each ->
            each.event() instanceof Event.Struck(CrashQuarantine.Strike strike)
                && strike.part() == part
                && strike.nanos() - nanos <= 0);
    long delayMillis =
        Math.floorMod(position, Math.max(1, CLEARING_SPREAD_MILLIS_PER_PEER * peers.size()));
    add(new Event.Cleared(part, nanos), delayMillis);
  }

  private static boolean isClearingOf(long part, Pending entry) {
    return entry.event() instanceof Event.Cleared cleared && cleared.part() == part;
  }

  @Override
  public void quarantined(long part, String partId) {
    if (!applying) {
      ownQuarantines.accept(part, partId);
    }
  }

  @Override
  public void tried(long part, long nanos) {
    add(new Event.Tried(part, nanos), 0);
  }

  @Override
  public void released(long part) {
    ownReleases.accept(part);
  }

  /**
   * Applies what another instance has sent. An instance that sends a quarantine although the part
   * has completed since is told of the completion.
   */
  void apply(FleetNews message, InetSocketAddress from, long nowNanos) {
    if (message.getClearingsCount() + message.getStrikesCount() + message.getQuarantinedCount()
        == 0) {
      return;
    }
    Set<Long> known = Set.copyOf(quarantine.quarantinedParts(nowNanos));
    Set<Long> announced = Set.copyOf(announcedParts(nowNanos));
    FleetNews.Builder reply = FleetNews.newBuilder();
    applying = true;
    try {
      for (PartEvent clearing : message.getClearingsList()) {
        pending.removeIf(each -> isClearingOf(clearing.getPart(), each));
        quarantine.applyClearing(
            clearing.getPart(), nowNanos - nanos(clearing.getAgeMs()), nowNanos);
      }
      for (PartStrike strike : message.getStrikesList()) {
        long brokenNanos = nowNanos - nanos(strike.getAgeMs());
        long sentNanos = brokenNanos - nanos(strike.getRanMs());
        quarantine.applyStrike(
            new CrashQuarantine.Strike(
                strike.getPart(), strike.getServer(), sentNanos, brokenNanos),
            nowNanos);
      }
      for (PartEvent quarantined : message.getQuarantinedList()) {
        long part = quarantined.getPart();
        long sinceNanos = nowNanos - nanos(quarantined.getAgeMs());
        quarantine.applyQuarantine(part, sinceNanos);
        quarantine
            .completionSince(part, sinceNanos - CrashQuarantine.MAX_LATE_NANOS)
            .ifPresent(nanos -> addEvent(reply, new Event.Cleared(part, nanos), nowNanos));
      }
    } finally {
      applying = false;
    }
    if (reply.getClearingsCount() > 0) {
      sender.send(reply, List.of(from));
    }
    List<Long> learned = new ArrayList<>(quarantine.quarantinedParts(nowNanos));
    learned.removeAll(known);
    announcedParts(nowNanos).stream()
        .filter(part -> !announced.contains(part) && ownStruckParts.contains(part))
        .forEach(this::reportOwnQuarantine);
    if (!learned.isEmpty() && !forwardScheduled) {
      forwardScheduled = true;
      loop.schedule(this::forward, FORWARD_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private List<Long> announcedParts(long nowNanos) {
    return quarantine.quarantinedParts(nowNanos).stream().filter(quarantine::isAnnounced).toList();
  }

  private void reportOwnQuarantine(long part) {
    String partId = quarantine.report(part).map(CrashQuarantine.PartReport::partId).orElse("");
    ownQuarantines.accept(part, partId);
  }

  /** Adds the quarantined parts to a message; of many parts, others each time. */
  void addQuarantinedParts(FleetNews.Builder message, long nowNanos) {
    List<Long> parts = quarantine.quarantinedParts(nowNanos);
    int count = Math.min(parts.size(), MAX_QUARANTINED);
    for (int i = 0; i < count; i++) {
      long part = parts.get(Math.floorMod(nextQuarantined + i, parts.size()));
      OptionalLong since = quarantine.quarantinedSinceNanos(part);
      if (since.isPresent()) {
        message.addQuarantined(
            PartEvent.newBuilder()
                .setPart(part)
                .setAgeMs(ageMillis(since.getAsLong(), nowNanos))
                .build());
      }
    }
    nextQuarantined += count;
  }

  private void forward() {
    forwardScheduled = false;
    announceQuarantined();
  }

  private void announceQuarantined() {
    FleetNews.Builder message = FleetNews.newBuilder();
    addQuarantinedParts(message, clock.getAsLong());
    if (message.getQuarantinedCount() > 0) {
      List<InetSocketAddress> recipients = new ArrayList<>();
      for (int i = Math.min(QUARANTINED_RECIPIENTS, peers.size()); i > 0; i--) {
        recipients.add(peers.get(Math.floorMod(nextPeer++, peers.size())));
      }
      sender.send(message, recipients);
    }
  }

  private void add(Event event, long delayMillis) {
    if (pending.size() >= MAX_PENDING) {
      pending.removeFirst();
    }
    long dueNanos = clock.getAsLong() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    pending.addLast(new Pending(event, 0, dueNanos));
    scheduleFlush();
  }

  private void scheduleFlush() {
    if (flushScheduled || pending.isEmpty()) {
      return;
    }
    long now = clock.getAsLong();
    long waitNanos = Long.MAX_VALUE;
    for (Pending each : pending) {
      waitNanos = Math.min(waitNanos, each.dueNanos() - now);
    }
    waitNanos = Math.max(waitNanos, nextRoundNanos - now);
    flushScheduled = true;
    long delayNanos = Math.max(waitNanos, TimeUnit.MILLISECONDS.toNanos(BATCH_MILLIS));
    loop.schedule(this::flush, delayNanos, TimeUnit.NANOSECONDS);
  }

  private void flush() {
    flushScheduled = false;
    long now = clock.getAsLong();
    FleetNews.Builder message = FleetNews.newBuilder();
    List<Pending> again = new ArrayList<>();
    for (Iterator<Pending> entries = pending.iterator(); entries.hasNext(); ) {
      Pending each = entries.next();
      if (each.dueNanos() - now > 0) {
        continue;
      }
      if (eventCount(message) == MAX_EVENTS) {
        break;
      }
      addEvent(message, each.event(), now);
      entries.remove();
      if (each.sendCount() < REPEAT_MILLIS.length) {
        long pauseNanos = TimeUnit.MILLISECONDS.toNanos(REPEAT_MILLIS[each.sendCount()]);
        again.add(new Pending(each.event(), each.sendCount() + 1, now + pauseNanos));
      }
    }
    pending.addAll(again);
    if (eventCount(message) > 0) {
      long roundMillis = Math.max(MIN_ROUND_MILLIS, ROUND_MILLIS_PER_PEER * peers.size());
      nextRoundNanos = now + TimeUnit.MILLISECONDS.toNanos(roundMillis);
      addQuarantinedParts(message, now);
      sender.send(message, peers);
    }
    scheduleFlush();
  }

  private static int eventCount(FleetNews.Builder message) {
    return message.getStrikesCount() + message.getClearingsCount() + message.getQuarantinedCount();
  }

  private static void addEvent(FleetNews.Builder message, Event event, long nowNanos) {
    switch (event) {
      case Event.Struck(CrashQuarantine.Strike strike) ->
          message.addStrikes(
              PartStrike.newBuilder()
                  .setPart(strike.part())
                  .setServer(strike.server())
                  .setAgeMs(ageMillis(strike.nanos(), nowNanos))
                  .setRanMs(ageMillis(strike.sentNanos(), strike.nanos()))
                  .build());
      case Event.Cleared(long part, long nanos) ->
          message.addClearings(
              PartEvent.newBuilder().setPart(part).setAgeMs(ageMillis(nanos, nowNanos)).build());
      case Event.Tried(long part, long nanos) ->
          message.addQuarantined(
              PartEvent.newBuilder().setPart(part).setAgeMs(ageMillis(nanos, nowNanos)).build());
    }
  }

  private static int ageMillis(long nanos, long nowNanos) {
    return Math.clamp(TimeUnit.NANOSECONDS.toMillis(nowNanos - nanos), 0, Integer.MAX_VALUE);
  }

  private static long nanos(int ageMillis) {
    return TimeUnit.MILLISECONDS.toNanos(Integer.toUnsignedLong(ageMillis));
  }
}
