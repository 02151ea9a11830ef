package org.pollenrock.router.task;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.pollenrock.adapters.engine.CacheEvents;
import org.pollenrock.adapters.engine.EngineAddress;
import org.pollenrock.adapters.engine.EngineClient;
import org.pollenrock.core.cache.CacheEvent;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ServerRole;
import org.pollenrock.router.decision.Decisions;
import org.pollenrock.router.decision.ServerEntry;

/**
 * Reads the cache events of each engine again and again, one page at a time for each; confined to
 * one event loop.
 */
public final class CacheEventTask {
  private static final int PAGE_EVENTS = 2_000;
  private static final int KEY_DIGITS = 2 * BlockKey.BYTES;
  private static final int HALF_DIGITS = KEY_DIGITS / 2;
  private static final int HEX = 16;

  private final EventLoop loop;
  private final EngineClient client;
  private final Decisions decisions;
  private final long intervalNanos;
  private final Map<BackendServerId, Position> positions = new HashMap<>();
  private volatile boolean stopped;

  /** How far the events of one engine were read. */
  private static final class Position {
    private final ServerEntry entry;
    private long incarnation;
    private long after;
    private boolean reading;

    Position(ServerEntry entry) {
      this.entry = entry;
    }
  }

  /**
   * Creates the task.
   *
   * @param loop its thread
   * @param client client of engines
   * @param decisions receives the events
   * @param intervalNanos time between two reads of an engine, in nanoseconds
   */
  public CacheEventTask(
      EventLoop loop, EngineClient client, Decisions decisions, long intervalNanos) {
    this.loop = loop;
    this.client = client;
    this.decisions = decisions;
    this.intervalNanos = intervalNanos;
  }

  /** Starts to read. */
  public void start() {
    loop.execute(this::readAll);
  }

  /** Reads no more. */
  public void stop() {
    stopped = true;
  }

  /**
   * Replaces the servers; the position in the events of one that stays is kept.
   *
   * @param listed the servers
   */
  public void servers(List<ServerEntry> listed) {
    loop.execute(
        () -> {
          Map<BackendServerId, Position> before = new HashMap<>(positions);
          positions.clear();
          for (ServerEntry entry : listed) {
            if (entry.role() == ServerRole.MODEL_SERVER) {
              Position known = before.get(entry.id());
              boolean same = known != null && known.entry.address().equals(entry.address());
              positions.put(entry.id(), same ? known : new Position(entry));
            }
          }
        });
  }

  private void readAll() {
    if (stopped) {
      return;
    }
    positions.values().forEach(this::read);
    loop.schedule(this::readAll, intervalNanos, TimeUnit.NANOSECONDS);
  }

  private void read(Position position) {
    if (position.reading) {
      return;
    }
    position.reading = true;
    ServerEntry entry = position.entry;
    client
        .cacheEvents(new EngineAddress(entry.id(), entry.address()), position.after, PAGE_EVENTS)
        .thenAccept(result -> loop.execute(() -> received(position, result)));
  }

  private void received(Position position, Result<CacheEvents> result) {
    position.reading = false;
    if (stopped || !(result instanceof Result.Success<CacheEvents>(CacheEvents page))) {
      return;
    }
    if (page.incarnation() != position.incarnation) {
      // Sequence numbers begin anew with each incarnation, so this page may skip its first events.
      boolean complete = position.after == 0;
      position.incarnation = page.incarnation();
      position.after = 0;
      if (!complete) {
        read(position);
        return;
      }
    }
    if (!page.events().isEmpty()) {
      position.after = Math.max(position.after, page.events().getLast().sequence());
    }
    List<CacheEvent> events = convert(page.events());
    Incarnation incarnation = new Incarnation(page.incarnation());
    BackendServerId server = position.entry.id();
    boolean complete = page.events().size() < PAGE_EVENTS;
    decisions.tell(state -> state.cacheEvents(server, incarnation, events, complete));
  }

  private static List<CacheEvent> convert(List<CacheEvents.Entry> entries) {
    List<CacheEvent> events = new ArrayList<>(entries.size());
    for (CacheEvents.Entry entry : entries) {
      CacheEvent.Kind kind =
          "stored".equals(entry.kind()) ? CacheEvent.Kind.STORED : CacheEvent.Kind.EVICTED;
      key(entry.key()).ifPresent(key -> events.add(new CacheEvent(entry.sequence(), kind, key)));
    }
    return events;
  }

  /** Reads a key in hexadecimal; the sequence gap of an unusable one makes the entries suspect. */
  private static Optional<BlockKey> key(String text) {
    if (text == null || text.length() != KEY_DIGITS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new BlockKey(
              Long.parseUnsignedLong(text, 0, HALF_DIGITS, HEX),
              Long.parseUnsignedLong(text, HALF_DIGITS, KEY_DIGITS, HEX)));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
