package org.pollenrock.bench.experiment;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenrock.bench.fault.FaultName;
import org.pollenrock.bench.history.HistoryRule;
import org.pollenrock.bench.history.RunHistory;
import org.pollenrock.bench.workload.Deployment;

/**
 * Guards real routers against histories that break an invariant while appends lose their answers
 * and operators race.
 *
 * <p>Only rules that hold on a machine of any speed are asked; nothing is said about times.
 */
class ExperimentTest {
  private static final long SEED = 31;
  private static final double SECONDS = 3;
  private static final Set<FaultName> FAULTS =
      EnumSet.of(FaultName.LOG_LOST_ACK, FaultName.CONFIG_RACE, FaultName.EVENT_GAPS);
  private static final List<HistoryRule> RULES =
      List.of(
          HistoryRule.AT_MOST_ONCE,
          HistoryRule.TRUTHFUL_REFUSAL,
          HistoryRule.ANSWER_IDENTITY,
          HistoryRule.CACHE_IDENTITY,
          HistoryRule.SETTINGS_DURABILITY);

  @ParameterizedTest
  @ValueSource(strings = {"chama", "directorate"})
  void historyOfRealRoutersBreaksNoRule(String deployment) throws InterruptedException {
    ExperimentOptions options =
        new ExperimentOptions(
            Deployment.named(deployment), SEED, SECONDS, FAULTS, List.of(Policy.POLLENROCK));

    RunHistory history = new Experiment(options, outcome -> {}).run(Policy.POLLENROCK);

    assertThat(history.outcomes()).isNotEmpty();
    assertThat(history.postings()).anyMatch(execution -> !execution.key().isEmpty());
    for (HistoryRule rule : RULES) {
      assertThat(rule.check(history)).as("%s, seed %d", rule, SEED).isEmpty();
    }
  }
}
