package org.pollenrock.router.settings;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.Priority;
import org.pollenrock.core.model.RequestKind;

/**
 * Values in force for one request.
 *
 * @param kind kind of the request, empty when none applies
 * @param priority class of the request
 * @param deadline longest time to the end of the response
 * @param attempts most attempts, the first included
 * @param blockSizeBytes prompt bytes of one cached block
 */
public record RequestValues(
    Optional<RequestKind> kind,
    Priority priority,
    Duration deadline,
    int attempts,
    int blockSizeBytes) {
  /** Checks that all parts are present. */
  public RequestValues {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(priority, "priority");
    Objects.requireNonNull(deadline, "deadline");
  }
}
