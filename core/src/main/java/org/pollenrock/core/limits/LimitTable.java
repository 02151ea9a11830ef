package org.pollenrock.core.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Step;

/**
 * Tracks the use of all limits by this router.
 *
 * <p>A request is charged to all of its scopes or to none. An entry is idle when it has no running
 * requests. An idle entry with full token buckets is equivalent to a new one; when there are too
 * many idle entries, such entries are removed, least recently used first. An idle entry whose
 * buckets are not yet full is kept, because its removal would let a customer exceed its limit.
 */
public final class LimitTable {
  /**
   * Retry delay for a reached concurrency limit; the end of running requests is not predictable.
   */
  private static final long CONCURRENCY_RETRY_NANOS = 1_000_000_000L;

  /**
   * Maximum number of idle entries checked per operation. It exceeds the number of scopes of a
   * request, so that the number of idle entries can decrease.
   */
  private static final int EVICTION_STEPS = 4;

  private final ShareSource shares;
  private final int maxIdleEntries;
  private final Map<LimitScope, LimitEntry> entries = new HashMap<>();
  private final Set<LimitEntry> idleEntries = new LinkedHashSet<>();

  /**
   * Creates an empty table.
   *
   * @param shares provides the part of each limit that this router may use
   * @param maxIdleEntries number of idle entries that are kept
   * @throws IllegalArgumentException when {@code maxIdleEntries} is negative
   */
  public LimitTable(ShareSource shares, int maxIdleEntries) {
    if (maxIdleEntries < 0) {
      throw new IllegalArgumentException("maxIdleEntries must not be negative: " + maxIdleEntries);
    }
    this.shares = Objects.requireNonNull(shares, "shares");
    this.maxIdleEntries = maxIdleEntries;
  }

  /**
   * Charges a request to all of its scopes, or to none when it would exceed one of the limits.
   *
   * @param limits the scopes of the request, each at most once, with their current limits
   * @param promptTokens number of prompt tokens, not negative
   * @param nowNanos current time
   * @return the hold to release later, or the limit that the request would exceed
   * @throws IllegalArgumentException when {@code promptTokens} is negative
   */
  public LimitDecision acquire(List<ScopedLimits> limits, long promptTokens, long nowNanos) {
    if (promptTokens < 0) {
      throw new IllegalArgumentException("promptTokens must not be negative: " + promptTokens);
    }
    List<LimitEntry> requestEntries = new ArrayList<>(limits.size());
    for (ScopedLimits scoped : limits) {
      LimitEntry entry = findOrCreateEntry(scoped.scope(), nowNanos);
      entry.adjust(scoped.values(), shares, nowNanos);
      requestEntries.add(entry);
    }
    LimitDecision decision = decide(requestEntries, promptTokens, nowNanos);
    evictIdle(nowNanos);
    return decision;
  }

  /**
   * Releases the hold of a request that ran. A repeated call for the same hold has no effect.
   *
   * @param hold hold of the request
   * @param nowNanos current time
   */
  public void release(LimitHold hold, long nowNanos) {
    if (!hold.markReleased()) {
      return;
    }
    hold.entries().forEach(this::releaseEntry);
    evictIdle(nowNanos);
  }

  /**
   * Releases the hold of a request that did not run, and refunds its rate tokens. A repeated call
   * for the same hold has no effect.
   *
   * @param hold hold of the request
   * @param nowNanos current time
   */
  public void cancel(LimitHold hold, long nowNanos) {
    if (!hold.markReleased()) {
      return;
    }
    for (LimitEntry entry : hold.entries()) {
      entry.refund(hold.promptTokens(), nowNanos);
      releaseEntry(entry);
    }
    evictIdle(nowNanos);
  }

  /**
   * Returns the recent demand for a limit by requests on this router, including refused requests.
   *
   * @param key the limit
   * @param nowNanos current time
   * @return recent demand in the unit of the limit's dimension
   */
  public long demand(LimitKey key, long nowNanos) {
    LimitEntry entry = entries.get(key.scope());
    return entry == null ? 0 : entry.demand(key.dimension(), nowNanos);
  }

  /**
   * Returns the number of entries, idle or not.
   *
   * @return number of entries
   */
  public int size() {
    return entries.size();
  }

  /**
   * Returns the number of running requests of a scope.
   *
   * @param scope the scope
   * @return number of running requests
   */
  public long runningCount(LimitScope scope) {
    LimitEntry entry = entries.get(scope);
    return entry == null ? 0 : entry.runningCount();
  }

  private LimitDecision decide(List<LimitEntry> requestEntries, long promptTokens, long nowNanos) {
    Optional<LimitDecision.Exceeded> exceeded =
        findExceeded(requestEntries, promptTokens, nowNanos);
    for (LimitEntry entry : requestEntries) {
      boolean concurrencyRefused =
          exceeded.isPresent()
              && exceeded.get().key().dimension() == LimitDimension.CONCURRENT_REQUESTS
              && exceeded.get().key().scope().equals(entry.scope());
      entry.recordDemand(promptTokens, concurrencyRefused, nowNanos);
    }
    if (exceeded.isPresent()) {
      return exceeded.get();
    }
    for (LimitEntry entry : requestEntries) {
      idleEntries.remove(entry);
      entry.consume(promptTokens);
    }
    return new LimitDecision.Granted(new LimitHold(requestEntries, promptTokens));
  }

  private static Optional<LimitDecision.Exceeded> findExceeded(
      List<LimitEntry> requestEntries, long promptTokens, long nowNanos) {
    for (LimitEntry entry : requestEntries) {
      LimitKey key = entry.findExceededLimit(promptTokens, nowNanos);
      if (key != null) {
        OptionalLong wait = entry.nanosUntilAllowed(key.dimension(), promptTokens, nowNanos);
        return Optional.of(
            new LimitDecision.Exceeded(key, wait.orElse(CONCURRENCY_RETRY_NANOS), refusal(key)));
      }
    }
    return Optional.empty();
  }

  private static RequestError.Refusal refusal(LimitKey key) {
    String message = "Limit " + key.dimension() + " of " + key.scope() + " is used up";
    return new RequestError.Refusal(
        ErrorCode.LIMIT_EXCEEDED, Step.ADMIT, Optional.empty(), message);
  }

  private LimitEntry findOrCreateEntry(LimitScope scope, long nowNanos) {
    LimitEntry existing = entries.get(scope);
    if (existing != null) {
      return existing;
    }
    LimitEntry created = new LimitEntry(scope, nowNanos);
    entries.put(scope, created);
    idleEntries.add(created);
    return created;
  }

  private void releaseEntry(LimitEntry entry) {
    entry.release();
    if (entry.runningCount() == 0) {
      idleEntries.add(entry);
    }
  }

  // An entry whose buckets are not yet full moves to the end, so that it does not block the removal
  // of other entries.
  private void evictIdle(long nowNanos) {
    for (int step = 0; step < EVICTION_STEPS && idleEntries.size() > maxIdleEntries; step++) {
      Iterator<LimitEntry> iterator = idleEntries.iterator();
      LimitEntry entry = iterator.next();
      iterator.remove();
      if (entry.isRemovable(nowNanos)) {
        entries.remove(entry.scope());
      } else {
        idleEntries.add(entry);
      }
    }
  }
}
