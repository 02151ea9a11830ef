package org.pollenrock.adapters.engine;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.adapters.http.ConnectionUse;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.Priority;
import org.pollenrock.core.model.WeightsVersion;

/**
 * One attempt to run a model request on one engine.
 *
 * @param engine where to run it
 * @param path API path
 * @param body JSON body
 * @param streamed whether the answer is an event stream
 * @param attemptId identity that the engine echoes
 * @param expectedIncarnation incarnation on which the choice relied
 * @param expectedWeights weights version on which the choice relied
 * @param priority class of the request
 * @param remainingMillis time left to the caller's deadline, in milliseconds
 * @param blockKeys keys of the prompt's whole blocks, in order
 * @param lastEventId index of the last token that was relayed, to resume after it
 * @param use which connections may be used
 */
public record EngineRequest(
    EngineAddress engine,
    String path,
    byte[] body,
    boolean streamed,
    String attemptId,
    Optional<Incarnation> expectedIncarnation,
    Optional<WeightsVersion> expectedWeights,
    Priority priority,
    OptionalLong remainingMillis,
    List<BlockKey> blockKeys,
    OptionalLong lastEventId,
    ConnectionUse use) {
  /** Checks that all parts are present. */
  public EngineRequest {
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(attemptId, "attemptId");
    Objects.requireNonNull(expectedIncarnation, "expectedIncarnation");
    Objects.requireNonNull(expectedWeights, "expectedWeights");
    Objects.requireNonNull(priority, "priority");
    Objects.requireNonNull(remainingMillis, "remainingMillis");
    blockKeys = List.copyOf(blockKeys);
    Objects.requireNonNull(lastEventId, "lastEventId");
    Objects.requireNonNull(use, "use");
  }
}
