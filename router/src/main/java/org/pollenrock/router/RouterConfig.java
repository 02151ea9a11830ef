package org.pollenrock.router;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Settings of one router process, apart from the shared tree.
 *
 * @param instance name of this router
 * @param incarnation larger at each start under the same name
 * @param dataCentre where it runs
 * @param callers where to listen for callers; port 0 for one that the system chooses
 * @param operators where to listen for operators; port 0 for one that the system chooses
 * @param limits bounds
 * @param stop how to stop
 * @param ioThreads number of event loops
 */
public record RouterConfig(
    InstanceId instance,
    Incarnation incarnation,
    DataCentreId dataCentre,
    InetSocketAddress callers,
    InetSocketAddress operators,
    RouterLimits limits,
    Stop stop,
    int ioThreads) {
  /** Checks that all parts are present. */
  public RouterConfig {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(callers, "callers");
    Objects.requireNonNull(operators, "operators");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(stop, "stop");
  }

  /**
   * How a router stops.
   *
   * @param drainDelay time for which it serves on after it reports that it is not ready
   * @param hardStopAfter longest time until the remaining streams are aborted
   */
  public record Stop(Duration drainDelay, Duration hardStopAfter) {}
}
