package org.pollenrock.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/** This instance's shares of the retry budgets of all services. */
final class RetryAllowances {
  private final RetryAllowanceSettings settings;
  private final long processStartNanos;
  private final Map<String, RetryAllowance> allowances = new HashMap<>();
  private int instanceCount = 1;

  RetryAllowances(RetryAllowanceSettings settings, long processStartNanos) {
    this.settings = settings;
    this.processStartNanos = processStartNanos;
  }

  /** Returns the allowance of a service. */
  RetryAllowance of(String service) {
    return allowances.computeIfAbsent(
        service,
        name -> {
          RetryAllowance allowance = new RetryAllowance(settings, processStartNanos);
          allowance.setInstanceCount(instanceCount);
          return allowance;
        });
  }

  /** Returns whether a resend for a service is left. */
  boolean isResendLeft(String service, long nowNanos) {
    return of(service).remainingResends(nowNanos) > 0;
  }

  /** Returns the number of resends of the service with the fewest left; 0 if there is none. */
  int remainingResends(long nowNanos) {
    return allowances.values().stream()
        .mapToInt(allowance -> allowance.remainingResends(nowNanos))
        .min()
        .orElse(0);
  }

  /** Sets the number of instances that share the budgets. */
  void setInstanceCount(int count) {
    instanceCount = count;
    allowances.values().forEach(allowance -> allowance.setInstanceCount(count));
  }
}
