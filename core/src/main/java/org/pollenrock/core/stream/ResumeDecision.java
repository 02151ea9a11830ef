package org.pollenrock.core.stream;

import java.util.Objects;
import java.util.OptionalLong;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/** Decision whether a broken stream is resumed, continued in a new run or interrupted. */
public sealed interface ResumeDecision {
  /**
   * Reconnects to the same run on the same server and incarnation.
   *
   * @param server the server
   * @param incarnation incarnation expected in the response
   * @param lastEventId the attempt's own index of the last relayed token; empty if no token of the
   *     attempt was relayed
   * @param indexOffset offset for {@link StreamAssembler#startAttempt}
   */
  record ResumeRun(
      BackendServerId server, Incarnation incarnation, OptionalLong lastEventId, long indexOffset)
      implements ResumeDecision {
    /** Checks that no component is null. */
    public ResumeRun {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(incarnation, "incarnation");
      Objects.requireNonNull(lastEventId, "lastEventId");
    }
  }

  /**
   * Starts a new run from the prompt and the text relayed so far.
   *
   * @param server the server
   * @param incarnation incarnation of the server
   * @param weights weights version expected in the response
   * @param indexOffset number of relayed tokens; the offset for {@link
   *     StreamAssembler#startAttempt}
   */
  record ContinueInNewRun(
      BackendServerId server, Incarnation incarnation, WeightsVersion weights, long indexOffset)
      implements ResumeDecision {
    /** Checks that no component is null. */
    public ContinueInNewRun {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(incarnation, "incarnation");
      Objects.requireNonNull(weights, "weights");
    }
  }

  /**
   * Ends the stream with an explicit error event, never with an end marker.
   *
   * @param error error sent to the caller
   */
  record Interrupt(RequestError error) implements ResumeDecision {
    /** Checks that the error is not null. */
    public Interrupt {
      Objects.requireNonNull(error, "error");
    }
  }
}
