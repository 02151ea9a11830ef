package org.pollenrock.core.stream;

import java.util.Objects;
import java.util.OptionalLong;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/** How a broken stream goes on. */
public sealed interface ResumeDecision {
  /**
   * Reconnect to the run on the same server and incarnation.
   *
   * @param server the server
   * @param incarnation incarnation that the response must have
   * @param lastEventId the attempt's own index of the last relayed token; empty when none was
   * @param indexOffset offset for {@link StreamAssembler#startAttempt}
   */
  record ResumeRun(
      BackendServerId server, Incarnation incarnation, OptionalLong lastEventId, long indexOffset)
      implements ResumeDecision {
    /** Checks that all parts are present. */
    public ResumeRun {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(incarnation, "incarnation");
      Objects.requireNonNull(lastEventId, "lastEventId");
    }
  }

  /**
   * Start a new run from the prompt plus the text relayed so far.
   *
   * @param server the server
   * @param incarnation its incarnation
   * @param weights weights version that the response must have
   * @param indexOffset number of relayed tokens, the offset for {@link
   *     StreamAssembler#startAttempt}
   */
  record ContinueInNewRun(
      BackendServerId server, Incarnation incarnation, WeightsVersion weights, long indexOffset)
      implements ResumeDecision {
    /** Checks that all parts are present. */
    public ContinueInNewRun {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(incarnation, "incarnation");
      Objects.requireNonNull(weights, "weights");
    }
  }

  /**
   * End the stream with an explicit error event, never with an end marker.
   *
   * @param error what the caller is told
   */
  record Interrupt(RequestError error) implements ResumeDecision {
    /** Checks that the error is present. */
    public Interrupt {
      Objects.requireNonNull(error, "error");
    }
  }
}
