package org.pollenrock.core.retry;

/** Recent request outcomes and ejection state of one server. */
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

  /** Adds an outcome after decaying the earlier ones. */
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

  /** Decays the counts of successes and failures to the current time. */
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

  /** Returns the decayed number of outcomes. */
  double samples() {
    return successes + failures;
  }

  /** Returns the decayed number of successes. */
  double successes() {
    return successes;
  }

  boolean isEjected() {
    return ejected;
  }

  /** Returns the time of the latest ejection or extension; only valid for an ejected server. */
  long ejectedSinceNanos() {
    return stateChangedNanos;
  }

  /**
   * Ejects the server, or extends its ejection after a failed trial. The duration doubles with each
   * ejection and starts at the base again if the server was not ejected for the maximum duration.
   */
  void eject(EjectionSettings settings, long nowNanos) {
    boolean wasStable = !ejected && nowNanos - stateChangedNanos >= settings.maxNanos();
    consecutiveEjections = wasStable ? 1 : consecutiveEjections + 1;
    ejected = true;
    trialRunning = false;
    stateChangedNanos = nowNanos;
    ejectedUntilNanos = nowNanos + ejectionNanos(settings);
  }

  /** Ends the ejection and discards all recorded outcomes. */
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

  /** Returns the status; a trial without an outcome within the timeout may be repeated. */
  EjectionStatus ejectionStatus(long trialTimeoutNanos, long nowNanos) {
    if (!ejected) {
      return EjectionStatus.ALLOWED;
    }
    if (trialRunning) {
      boolean timedOut = nowNanos - trialStartedNanos > trialTimeoutNanos;
      return timedOut ? EjectionStatus.TRIAL : EjectionStatus.EXCLUDED;
    }
    return nowNanos >= ejectedUntilNanos ? EjectionStatus.TRIAL : EjectionStatus.EXCLUDED;
  }

  /** Returns the duration of the current ejection: the base, doubled for each earlier ejection. */
  private long ejectionNanos(EjectionSettings settings) {
    long nanos = settings.baseNanos();
    for (int i = 1; i < consecutiveEjections && nanos < settings.maxNanos(); i++) {
      nanos *= 2;
    }
    return Math.min(nanos, settings.maxNanos());
  }
}
