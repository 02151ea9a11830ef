package org.pollenrock.core.limits;

import java.util.OptionalLong;

/** Current use of the limits of one scope by this router. */
final class LimitEntry {
  private static final double MILLI_REQUESTS_PER_REQUEST = 1e3;

  private final LimitScope scope;
  private final LimitKey requestKey;
  private final LimitKey concurrentKey;
  private final LimitKey tokenKey;
  private TokenBucket requestBucket;
  private TokenBucket tokenBucket;
  private long concurrentShare;
  private long runningCount;
  private final DemandRate requests;
  private final DemandRate tokens;
  private final DemandRate concurrencyRefusals;

  LimitEntry(LimitScope scope, long nowNanos) {
    this.scope = scope;
    this.requestKey = new LimitKey(scope, LimitDimension.REQUEST_RATE);
    this.concurrentKey = new LimitKey(scope, LimitDimension.CONCURRENT_REQUESTS);
    this.tokenKey = new LimitKey(scope, LimitDimension.PROMPT_TOKEN_RATE);
    this.requests = new DemandRate(nowNanos);
    this.tokens = new DemandRate(nowNanos);
    this.concurrencyRefusals = new DemandRate(nowNanos);
  }

  LimitScope scope() {
    return scope;
  }

  long runningCount() {
    return runningCount;
  }

  /** Sets the limits to this router's shares of the given values. */
  void adjust(LimitValues values, ShareSource shares, long nowNanos) {
    requestBucket =
        adjustBucket(
            requestBucket,
            requestKey,
            values.burstRequests(),
            MILLI_REQUESTS_PER_REQUEST,
            values,
            shares,
            nowNanos);
    tokenBucket =
        adjustBucket(
            tokenBucket, tokenKey, values.promptTokensPerSecond(), 1, values, shares, nowNanos);
    long limit = values.concurrentRequests();
    concurrentShare =
        limit == LimitValues.UNLIMITED ? limit : shares.share(concurrentKey, limit, nowNanos);
  }

  /** Returns the first limit that a request would exceed, or null if there is none. */
  LimitKey findExceededLimit(long promptTokens, long nowNanos) {
    if (runningCount >= concurrentShare) {
      return concurrentKey;
    }
    if (requestBucket != null && !requestBucket.allows(1, nowNanos)) {
      return requestKey;
    }
    if (tokenBucket != null && !tokenBucket.allows(promptTokens, nowNanos)) {
      return tokenKey;
    }
    return null;
  }

  /**
   * Returns the time until a request is within an exceeded limit again; empty for concurrent
   * requests, because that time depends on when running requests end.
   */
  OptionalLong nanosUntilAllowed(LimitDimension dimension, long promptTokens, long nowNanos) {
    return switch (dimension) {
      case CONCURRENT_REQUESTS -> OptionalLong.empty();
      case REQUEST_RATE -> OptionalLong.of(requestBucket.nanosUntilAllowed(1, nowNanos));
      case PROMPT_TOKEN_RATE ->
          OptionalLong.of(tokenBucket.nanosUntilAllowed(promptTokens, nowNanos));
    };
  }

  /** Charges a request to all limits of the scope. */
  void consume(long promptTokens) {
    runningCount++;
    if (requestBucket != null) {
      requestBucket.consume(1);
    }
    if (tokenBucket != null) {
      tokenBucket.consume(promptTokens);
    }
  }

  /** Ends a running request. */
  void release() {
    runningCount--;
  }

  /** Returns the rate tokens of a request that did not run. */
  void refund(long promptTokens, long nowNanos) {
    if (requestBucket != null) {
      requestBucket.refund(1, nowNanos);
    }
    if (tokenBucket != null) {
      tokenBucket.refund(promptTokens, nowNanos);
    }
  }

  /**
   * Returns whether this entry is equivalent to a new one, so that its removal changes no decision.
   */
  boolean isRemovable(long nowNanos) {
    return runningCount == 0
        && (requestBucket == null || requestBucket.isFull(nowNanos))
        && (tokenBucket == null || tokenBucket.isFull(nowNanos));
  }

  /** Adds a request, granted or refused, to the recent demand. */
  void recordDemand(long promptTokens, boolean concurrencyRefused, long nowNanos) {
    requests.add(1, nowNanos);
    tokens.add(promptTokens, nowNanos);
    if (concurrencyRefused) {
      concurrencyRefusals.add(1, nowNanos);
    }
  }

  /** Returns the recent demand in the unit of the dimension. */
  long demand(LimitDimension dimension, long nowNanos) {
    return switch (dimension) {
      case REQUEST_RATE ->
          (long) Math.ceil(requests.perSecond(nowNanos) * MILLI_REQUESTS_PER_REQUEST);
      case PROMPT_TOKEN_RATE -> (long) Math.ceil(tokens.perSecond(nowNanos));
      case CONCURRENT_REQUESTS -> runningCount + Math.round(concurrencyRefusals.recent(nowNanos));
    };
  }

  /**
   * Sets the rate and capacity of a bucket to this router's share of the limit, and creates the
   * bucket if it is null. Returns null if there is no limit.
   */
  private static TokenBucket adjustBucket(
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
