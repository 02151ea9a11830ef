package org.pollenrock.router;

import java.util.Objects;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.placement.PlacementStrategy;
import org.pollenrock.router.decision.DecisionState;
import org.pollenrock.settings.ProcessSettings;

/**
 * What one router is started with.
 *
 * @param process settings of the process
 * @param incarnation larger at each start under the same name
 * @param ioThreads number of event loops
 * @param times time limits towards servers
 * @param strategy how engines are chosen
 */
public record RouterConfig(
    ProcessSettings process,
    Incarnation incarnation,
    int ioThreads,
    RouterTimes times,
    PlacementStrategy strategy) {
  /** Checks that all parts are present. */
  public RouterConfig {
    Objects.requireNonNull(process, "process");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(times, "times");
    Objects.requireNonNull(strategy, "strategy");
  }

  /**
   * The configuration of normal operation.
   *
   * @param process settings of the process
   * @param incarnation larger at each start under the same name
   * @param ioThreads number of event loops
   * @return the configuration
   */
  public static RouterConfig of(ProcessSettings process, Incarnation incarnation, int ioThreads) {
    return new RouterConfig(
        process,
        incarnation,
        ioThreads,
        RouterTimes.defaults(),
        DecisionState.Parameters.defaultStrategy());
  }
}
