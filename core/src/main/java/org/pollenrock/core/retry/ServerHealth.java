package org.pollenrock.core.retry;

/** Recent outcomes and the ejection of one server. */
final class ServerHealth {
  private int consecutiveFailures;
  private double successes;
  private double failures;
  private long lastDecayNanos;
  private boolean ejected;
  private boolean trialRunning;
  private int consecutiveEjections;
  private long stateChangedNanos;
  private long ejectedUntilNanos;
  private long trialStartedNanos;

  ServerHealth(long nowNanos) {
    this.lastDecayNanos = nowNanos;
    this.stateChangedNanos = nowNanos;
  }

  void recordOutcome(boolean success, long halfLifeNanos, long nowNanos) {
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
    long elapsed = nowNanos - lastDecayNanos;
    if (elapsed <= 0) {
      return;
    }
    double factor = Math.pow(0.5, (double) elapsed / halfLifeNanos);
    successes *= factor;
    failures *= factor;
    lastDecayNanos = nowNanos;
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

  boolean isEjected() {
    return ejected;
  }

  long ejectedSinceNanos() {
    return stateChangedNanos;
  }

  void eject(EjectionSettings settings, long nowNanos) {
    boolean recovered = !ejected && nowNanos - stateChangedNanos >= settings.maxNanos();
    consecutiveEjections = recovered ? 1 : consecutiveEjections + 1;
    ejected = true;
    trialRunning = false;
    stateChangedNanos = nowNanos;
    ejectedUntilNanos = nowNanos + ejectionNanos(settings);
  }

  void reinstate(long nowNanos) {
    ejected = false;
    trialRunning = false;
    stateChangedNanos = nowNanos;
    consecutiveFailures = 0;
    successes = 0;
    failures = 0;
  }

  void startTrial(long nowNanos) {
    trialRunning = true;
    trialStartedNanos = nowNanos;
  }

  boolean isTrialRunning() {
    return trialRunning;
  }

  EjectionStatus ejectionStatus(long trialTimeoutNanos, long nowNanos) {
    if (!ejected) {
      return EjectionStatus.ALLOWED;
    }
    if (trialRunning) {
      boolean lost = nowNanos - trialStartedNanos > trialTimeoutNanos;
      return lost ? EjectionStatus.TRIAL : EjectionStatus.EXCLUDED;
    }
    return nowNanos >= ejectedUntilNanos ? EjectionStatus.TRIAL : EjectionStatus.EXCLUDED;
  }

  private long ejectionNanos(EjectionSettings settings) {
    long duration = settings.baseNanos();
    for (int i = 1; i < consecutiveEjections && duration < settings.maxNanos(); i++) {
      duration *= 2;
    }
    return Math.min(duration, settings.maxNanos());
  }
}
