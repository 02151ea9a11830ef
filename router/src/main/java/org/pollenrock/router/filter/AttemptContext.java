package org.pollenrock.router.filter;

import java.util.function.LongSupplier;
import org.pollenrock.adapters.engine.EngineClient;
import org.pollenrock.adapters.plain.PlainServiceClient;
import org.pollenrock.core.stream.ResponseVerifier;
import org.pollenrock.router.RouterTimes;
import org.pollenrock.router.decision.Decisions;
import org.pollenrock.router.operator.RouterMetrics;

/**
 * What attempts need to send requests and to learn from the answers.
 *
 * @param engines client of engines
 * @param services client of plain services
 * @param attemptIds makes the identity of the next attempt
 * @param decisions takes what became of attempts
 * @param recovery decides what follows a failure
 * @param verifier verifies the identity of answers
 * @param metrics counts what became of attempts
 * @param times time limits
 * @param nanoClock monotonic clock
 */
record AttemptContext(
    EngineClient engines,
    PlainServiceClient services,
    AttemptIds attemptIds,
    Decisions decisions,
    Recovery recovery,
    ResponseVerifier verifier,
    RouterMetrics metrics,
    RouterTimes times,
    LongSupplier nanoClock) {}
