package org.pollenrock.core.limits;

import java.util.OptionalLong;

/** Use of the limits of one scope by this router. */
final class LimitEntry {
  /** Demand of the last seconds decides what is lent; older demand says little about the next. */
  private static final double DEMAND_HALF_LIFE_NANOS = 1e9;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLI = 1e3;

  private final LimitScope scope;
  private final LimitKey requestKey;
  private final LimitKey concurrentKey;
  private final LimitKey tokenKey;
  private TokenBucket requests;
  private TokenBucket tokens;
  private long concurrentShare;
  private long inUse;
  private double recentRequests;
  private double recentTokens;
  private double recentConcurrencyRefusals;
  private long decayedAt;

  LimitEntry(LimitScope scope, long nowNanos) {
    this.scope = scope;
    this.requestKey = new LimitKey(scope, LimitDimension.REQUEST_RATE);
    this.concurrentKey = new LimitKey(scope, LimitDimension.CONCURRENT_REQUESTS);
    this.tokenKey = new LimitKey(scope, LimitDimension.PROMPT_TOKEN_RATE);
    this.decayedAt = nowNanos;
  }

  LimitScope scope() {
    return scope;
  }

  long inUse() {
    return inUse;
  }

  void adjust(LimitValues values, ShareSource shares, long nowNanos) {
    requests =
        adjusted(requests, requestKey, values.burstRequests(), MILLI, values, shares, nowNanos);
    tokens =
        adjusted(tokens, tokenKey, values.promptTokensPerSecond(), 1, values, shares, nowNanos);
    long limit = values.concurrentRequests();
    concurrentShare =
        limit == LimitValues.UNLIMITED ? limit : shares.share(concurrentKey, limit, nowNanos);
  }

  /** Finds the first limit that a request would exceed, or returns null. */
  LimitKey exceeded(long promptTokens, long nowNanos) {
    if (inUse >= concurrentShare) {
      return concurrentKey;
    }
    if (requests != null && !requests.allows(1, nowNanos)) {
      return requestKey;
    }
    if (tokens != null && !tokens.allows(promptTokens, nowNanos)) {
      return tokenKey;
    }
    return null;
  }

  /** Returns how long an exceeded limit stays so; empty when that depends on running requests. */
  OptionalLong nanosUntil(LimitDimension dimension, long promptTokens, long nowNanos) {
    return switch (dimension) {
      case CONCURRENT_REQUESTS -> OptionalLong.empty();
      case REQUEST_RATE -> OptionalLong.of(requests.nanosUntil(1, nowNanos));
      case PROMPT_TOKEN_RATE -> OptionalLong.of(tokens.nanosUntil(promptTokens, nowNanos));
    };
  }

  void take(long promptTokens) {
    inUse++;
    if (requests != null) {
      requests.take(1);
    }
    if (tokens != null) {
      tokens.take(promptTokens);
    }
  }

  void release() {
    inUse--;
  }

  void giveBack(long promptTokens, long nowNanos) {
    if (requests != null) {
      requests.giveBack(1, nowNanos);
    }
    if (tokens != null) {
      tokens.giveBack(promptTokens, nowNanos);
    }
  }

  /** Tells whether forgetting this entry would change no decision. */
  boolean forgettable(long nowNanos) {
    return inUse == 0
        && (requests == null || requests.full(nowNanos))
        && (tokens == null || tokens.full(nowNanos));
  }

  void countDemand(long promptTokens, boolean concurrencyRefused, long nowNanos) {
    decay(nowNanos);
    recentRequests++;
    recentTokens += promptTokens;
    if (concurrencyRefused) {
      recentConcurrencyRefusals++;
    }
  }

  long demand(LimitDimension dimension, long nowNanos) {
    decay(nowNanos);
    double perSecond = Math.log(2) * NANOS_PER_SECOND / DEMAND_HALF_LIFE_NANOS;
    return switch (dimension) {
      case REQUEST_RATE -> (long) Math.ceil(recentRequests * perSecond * MILLI);
      case PROMPT_TOKEN_RATE -> (long) Math.ceil(recentTokens * perSecond);
      case CONCURRENT_REQUESTS -> inUse + Math.round(recentConcurrencyRefusals);
    };
  }

  private void decay(long nowNanos) {
    long elapsed = nowNanos - decayedAt;
    if (elapsed <= 0) {
      return;
    }
    double factor = Math.pow(0.5, elapsed / DEMAND_HALF_LIFE_NANOS);
    recentRequests *= factor;
    recentTokens *= factor;
    recentConcurrencyRefusals *= factor;
    decayedAt = nowNanos;
  }

  private static TokenBucket adjusted(
      TokenBucket bucket,
      LimitKey key,
      long burst,
      double unitsPerToken,
      LimitValues values,
      ShareSource shares,
      long nowNanos) {
    long limit = values.value(key.dimension());
    if (limit == LimitValues.UNLIMITED) {
      return null;
    }
    long share = shares.share(key, limit, nowNanos);
    double rate = share / unitsPerToken;
    double capacity = limit == 0 ? 0 : (double) burst * share / limit;
    if (bucket == null) {
      return new TokenBucket(rate, capacity, nowNanos);
    }
    bucket.adjust(rate, capacity, nowNanos);
    return bucket;
  }
}
