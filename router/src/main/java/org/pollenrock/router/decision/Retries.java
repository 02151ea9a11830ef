package org.pollenrock.router.decision;

import java.util.Optional;
import java.util.random.RandomGenerator;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.retry.Backoff;
import org.pollenrock.core.retry.RetryBudget;
import org.pollenrock.core.retry.RetryBudgetSettings;
import org.pollenrock.core.retry.RetryDecision;
import org.pollenrock.core.retry.RetryPolicy;
import org.pollenrock.core.settings.EffectiveSettings;
import org.pollenrock.core.settings.SettingKey;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.core.settings.ValueType;

/** Retry policy under the settings of each request; confined to the decision thread. */
final class Retries {
  /**
   * Covers the requests that a crashed server interrupts at once. With 10, requests were refused
   * while other servers were live: 12 requests needed 24 retries when two of three engines crashed.
   */
  private static final long INITIAL_RETRIES = 100;

  private static final long MAX_RETRIES = 1_000;
  private static final int MAX_CUSTOMERS = 10_000;
  private static final long MIN_SERVICE_NANOS = 1_000_000L;

  private final RandomGenerator random;
  private int percent;
  private RetryBudget budget;

  Retries(RandomGenerator random) {
    this.random = random;
    this.percent = percent(SettingKey.RETRY_BUDGET_PERCENT.defaultValue());
    this.budget = newBudget();
  }

  /** Takes the ratio of the root branch: the budget is one for the whole router. */
  void settings(SettingsTree tree) {
    EffectiveSettings root =
        EffectiveSettings.resolve(tree, Optional.empty(), Optional.empty(), Optional.empty());
    int wanted = percent(root.number(SettingKey.RETRY_BUDGET_PERCENT));
    if (wanted != percent) {
      percent = wanted;
      budget = newBudget();
    }
  }

  void firstAttempt(CustomerId customer) {
    budget.recordFirstAttempt(customer);
  }

  RetryDecision decide(RetryQuestion question) {
    EffectiveSettings values = question.values().effective();
    long base = values.number(SettingKey.RETRY_BACKOFF_BASE);
    long most = Math.max(base, values.number(SettingKey.RETRY_BACKOFF_MAX));
    RetryPolicy policy =
        new RetryPolicy(
            (int) values.number(SettingKey.RETRY_ATTEMPTS),
            new Backoff(base, most, random),
            budget);
    return policy.decide(question.failed(), question.progress(), MIN_SERVICE_NANOS);
  }

  private RetryBudget newBudget() {
    return new RetryBudget(
        new RetryBudgetSettings(percent, INITIAL_RETRIES, MAX_RETRIES, MAX_CUSTOMERS));
  }

  private static int percent(long decimal) {
    return (int) Math.min(100, decimal / ValueType.DECIMAL_SCALE);
  }
}
