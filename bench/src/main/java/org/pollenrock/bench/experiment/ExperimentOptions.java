package org.pollenrock.bench.experiment;

import java.util.List;
import java.util.Set;
import org.pollenrock.bench.fault.FaultName;
import org.pollenrock.bench.workload.Deployment;

/**
 * What to run.
 *
 * @param deployment the deployment
 * @param seed seed of trace, routers and faults
 * @param seconds length of the trace
 * @param faults injected in the middle third of the trace
 * @param policies compared on the same trace, one after the other
 */
public record ExperimentOptions(
    Deployment deployment,
    long seed,
    double seconds,
    Set<FaultName> faults,
    List<Policy> policies) {

  /**
   * When the faults begin.
   *
   * @return seconds from the start of the trace
   */
  public double faultStartSeconds() {
    return seconds / 3;
  }

  /**
   * When the faults end.
   *
   * @return seconds from the start of the trace
   */
  public double faultEndSeconds() {
    return seconds * 2 / 3;
  }
}
