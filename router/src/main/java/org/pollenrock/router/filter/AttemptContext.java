package org.pollenrock.router.filter;

import java.util.function.LongSupplier;
import org.pollenrock.adapters.engine.EngineClient;
import org.pollenrock.adapters.plain.PlainServiceClient;
import org.pollenrock.router.RouterLimits;

/**
 * What attempts need to send requests.
 *
 * @param engines client of engines
 * @param services client of plain services
 * @param attemptIds makes the identity of the next attempt
 * @param limits time limits
 * @param nanoClock monotonic clock
 */
record AttemptContext(
    EngineClient engines,
    PlainServiceClient services,
    AttemptIds attemptIds,
    RouterLimits limits,
    LongSupplier nanoClock) {}
