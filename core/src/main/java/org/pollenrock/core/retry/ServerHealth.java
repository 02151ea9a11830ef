package org.pollenrock.core.retry;

/** Recent outcomes and the ejection of one server. */
final class ServerHealth {
  private int consecutiveFailures;
  private double successes;
  private double failures;
  private long countedAt;
  private boolean ejected;
  private boolean trialRunning;
  private int ejections;
  private long changedAt;
  private long ejectedUntil;
  private long trialStartedAt;

  ServerHealth(long nowNanos) {
    this.countedAt = nowNanos;
    this.changedAt = nowNanos;
  }

  void count(boolean success, long halfLifeNanos, long nowNanos) {
    decay(halfLifeNanos, nowNanos);
    if (success) {
      consecutiveFailures = 0;
      successes++;
    } else {
      consecutiveFailures++;
      failures++;
    }
  }

  void decay(long halfLifeNanos, long nowNanos) {
    long elapsed = nowNanos - countedAt;
    if (elapsed <= 0) {
      return;
    }
    double factor = Math.pow(0.5, (double) elapsed / halfLifeNanos);
    successes *= factor;
    failures *= factor;
    countedAt = nowNanos;
  }

  int consecutiveFailures() {
    return consecutiveFailures;
  }

  double samples() {
    return successes + failures;
  }

  double successes() {
    return successes;
  }

  boolean ejected() {
    return ejected;
  }

  long ejectedAt() {
    return changedAt;
  }

  void eject(EjectionSettings settings, long nowNanos) {
    boolean recovered = !ejected && nowNanos - changedAt >= settings.maxNanos();
    ejections = recovered ? 1 : ejections + 1;
    ejected = true;
    trialRunning = false;
    changedAt = nowNanos;
    ejectedUntil = nowNanos + durationNanos(settings);
  }

  void reinstate(long nowNanos) {
    ejected = false;
    trialRunning = false;
    changedAt = nowNanos;
    consecutiveFailures = 0;
    successes = 0;
    failures = 0;
  }

  void startTrial(long nowNanos) {
    trialRunning = true;
    trialStartedAt = nowNanos;
  }

  boolean trialRunning() {
    return trialRunning;
  }

  EjectionStatus verdict(long trialTimeoutNanos, long nowNanos) {
    if (!ejected) {
      return EjectionStatus.ALLOWED;
    }
    if (trialRunning) {
      boolean lost = nowNanos - trialStartedAt > trialTimeoutNanos;
      return lost ? EjectionStatus.TRIAL : EjectionStatus.EXCLUDED;
    }
    return nowNanos >= ejectedUntil ? EjectionStatus.TRIAL : EjectionStatus.EXCLUDED;
  }

  private long durationNanos(EjectionSettings settings) {
    long duration = settings.baseNanos();
    for (int i = 1; i < ejections && duration < settings.maxNanos(); i++) {
      duration *= 2;
    }
    return Math.min(duration, settings.maxNanos());
  }
}
