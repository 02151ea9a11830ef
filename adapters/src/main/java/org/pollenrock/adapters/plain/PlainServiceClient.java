package org.pollenrock.adapters.plain;

import java.util.function.Consumer;
import org.pollenrock.core.error.Result;

/** Client of plain services; sends each call exactly once. */
public interface PlainServiceClient {
  /**
   * Sends a call.
   *
   * @param call the call
   * @param reply receives, once, the service's answer of any status; a refusal when no byte left;
   *     an uncertain error when the call may have run
   * @return handle of the call
   */
  PlainExchange send(PlainCall call, Consumer<Result<PlainAnswer>> reply);
}
