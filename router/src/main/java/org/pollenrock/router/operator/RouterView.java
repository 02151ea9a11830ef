package org.pollenrock.router.operator;

import java.util.List;
import java.util.Optional;

/**
 * What operators see of the router itself, apart from its decision state.
 *
 * @param instance name of the router
 * @param dataCentre where it runs
 * @param incarnation its incarnation
 * @param revision settings revision in force, empty when there is none
 * @param notReady reasons for which it is not ready, empty when it is
 */
public record RouterView(
    String instance,
    String dataCentre,
    long incarnation,
    Optional<Long> revision,
    List<String> notReady) {
  /** Copies the reasons. */
  public RouterView {
    notReady = List.copyOf(notReady);
  }
}
