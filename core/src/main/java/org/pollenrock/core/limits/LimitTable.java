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
 * Use of all limits by this router.
 *
 * <p>A request is charged to all of its scopes or to none. An entry without running requests and
 * with full buckets is equal to a new one; such entries are forgotten above a bound, least recently
 * used first. An entry that is not yet refilled is kept, since forgetting it would let a customer
 * exceed its limit.
 */
public final class LimitTable {
  /** Hint to callers when a concurrency limit is reached: the end of a run cannot be foreseen. */
  private static final long CONCURRENCY_RETRY_NANOS = 1_000_000_000L;

  /**
   * Bounds the work of one operation; more than the scopes of a request, so that idle entries
   * shrink.
   */
  private static final int EVICTION_STEPS = 4;

  private final ShareSource shares;
  private final int maxIdle;
  private final Map<LimitScope, LimitEntry> entries = new HashMap<>();
  private final Set<LimitEntry> idleEntries = new LinkedHashSet<>();

  /**
   * Creates a table without entries.
   *
   * @param shares which part of each limit this router may use
   * @param maxIdle number of entries without running requests that are kept
   * @throws IllegalArgumentException when the number is negative
   */
  public LimitTable(ShareSource shares, int maxIdle) {
    if (maxIdle < 0) {
      throw new IllegalArgumentException("maxIdle must not be negative: " + maxIdle);
    }
    this.shares = Objects.requireNonNull(shares, "shares");
    this.maxIdle = maxIdle;
  }

  /**
   * Charges a request to all of its scopes, or to none when one limit is used up.
   *
   * @param limits the scopes, each at most once, with the limits in force
   * @param promptTokens tokens of the prompt, not negative
   * @param nowNanos time now
   * @return what to release, or the limit that is used up
   * @throws IllegalArgumentException when the number of tokens is negative
   */
  public LimitDecision acquire(List<ScopedLimits> limits, long promptTokens, long nowNanos) {
    if (promptTokens < 0) {
      throw new IllegalArgumentException("promptTokens must not be negative: " + promptTokens);
    }
    List<LimitEntry> charged = new ArrayList<>(limits.size());
    for (ScopedLimits scoped : limits) {
      LimitEntry entry = findOrCreateEntry(scoped.scope(), nowNanos);
      entry.adjust(scoped.values(), shares, nowNanos);
      charged.add(entry);
    }
    LimitDecision decision = decide(charged, promptTokens, nowNanos);
    evictIdle(nowNanos);
    return decision;
  }

  /**
   * Ends a request that ran. A second call for the same hold has no effect.
   *
   * @param hold what the request holds
   * @param nowNanos time now
   */
  public void release(LimitHold hold, long nowNanos) {
    if (!hold.markReleased()) {
      return;
    }
    hold.entries().forEach(this::releaseEntry);
    evictIdle(nowNanos);
  }

  /**
   * Ends a request that did not run, and gives its rate tokens back. A second call for the same
   * hold has no effect.
   *
   * @param hold what the request holds
   * @param nowNanos time now
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
   * Recent demand of this router's requests, refused ones included.
   *
   * @param key the limit
   * @param nowNanos time now
   * @return demand in the unit of the limit's dimension
   */
  public long demand(LimitKey key, long nowNanos) {
    LimitEntry entry = entries.get(key.scope());
    return entry == null ? 0 : entry.demand(key.dimension(), nowNanos);
  }

  /**
   * Number of entries.
   *
   * @return entries in use, not yet refilled, or idle
   */
  public int size() {
    return entries.size();
  }

  /**
   * Requests of a scope that run now.
   *
   * @param scope the scope
   * @return their number
   */
  public long runningCount(LimitScope scope) {
    LimitEntry entry = entries.get(scope);
    return entry == null ? 0 : entry.inUse();
  }

  private LimitDecision decide(List<LimitEntry> charged, long promptTokens, long nowNanos) {
    Optional<LimitDecision.Exceeded> exceeded = findExceeded(charged, promptTokens, nowNanos);
    for (LimitEntry entry : charged) {
      boolean refusedHere =
          exceeded.isPresent()
              && exceeded.get().key().dimension() == LimitDimension.CONCURRENT_REQUESTS
              && exceeded.get().key().scope().equals(entry.scope());
      entry.recordDemand(promptTokens, refusedHere, nowNanos);
    }
    if (exceeded.isPresent()) {
      return exceeded.get();
    }
    for (LimitEntry entry : charged) {
      idleEntries.remove(entry);
      entry.consume(promptTokens);
    }
    return new LimitDecision.Granted(new LimitHold(charged, promptTokens));
  }

  private static Optional<LimitDecision.Exceeded> findExceeded(
      List<LimitEntry> charged, long promptTokens, long nowNanos) {
    for (LimitEntry entry : charged) {
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
    LimitEntry known = entries.get(scope);
    if (known != null) {
      return known;
    }
    LimitEntry added = new LimitEntry(scope, nowNanos);
    entries.put(scope, added);
    idleEntries.add(added);
    return added;
  }

  private void releaseEntry(LimitEntry entry) {
    entry.release();
    if (entry.inUse() == 0) {
      idleEntries.add(entry);
    }
  }

  // An entry that is not yet refilled goes to the end, so that it cannot keep others from being
  // forgotten.
  private void evictIdle(long nowNanos) {
    for (int step = 0; step < EVICTION_STEPS && idleEntries.size() > maxIdle; step++) {
      Iterator<LimitEntry> oldest = idleEntries.iterator();
      LimitEntry entry = oldest.next();
      oldest.remove();
      if (entry.isRemovable(nowNanos)) {
        entries.remove(entry.scope());
      } else {
        idleEntries.add(entry);
      }
    }
  }
}
