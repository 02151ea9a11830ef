package org.pollenrock.router.decision;

import java.util.Optional;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.router.settings.RequestValues;

/**
 * A request that asks to be admitted.
 *
 * @param customer whose request it is
 * @param values values in force
 * @param model the model, empty for a plain call, which needs no slot
 * @param promptTokens estimated tokens of the prompt, 0 for a plain call
 * @param deadlineNanos latest end of the response on the monotonic clock
 */
public record AdmitRequest(
    CustomerId customer,
    RequestValues values,
    Optional<ModelId> model,
    long promptTokens,
    long deadlineNanos) {}
