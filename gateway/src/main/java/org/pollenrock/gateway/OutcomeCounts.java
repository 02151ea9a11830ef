package org.pollenrock.gateway;

import org.pollenrock.core.fleet.Backend;
import org.pollenrock.protocol.generated.ServerOutcomes;

/** Outcomes of requests at one server that other instances were not told yet. */
final class OutcomeCounts {
  private int successes;
  private int failures;

  void add(boolean success) {
    if (success) {
      successes++;
    } else {
      failures++;
    }
  }

  ServerOutcomes toMessage(Backend backend) {
    return ServerOutcomes.newBuilder()
        .setServer(backend.idHash())
        .setSuccesses(successes)
        .setFailures(failures)
        .build();
  }
}
