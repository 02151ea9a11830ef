package org.pollenrock.router.decision;

import java.util.Optional;
import org.pollenrock.core.stream.ResumeDecision;

/**
 * How a broken stream goes on.
 *
 * @param decision what to do
 * @param choice the engine to continue on, present when another run is started
 */
public record ResumeAnswer(ResumeDecision decision, Optional<Choice.Engine> choice) {}
