package org.pollenrock.adapters.plain;

import java.util.concurrent.CompletionStage;
import org.pollenrock.core.error.Result;

/** Client of plain services; sends each call exactly once. */
public interface PlainServiceClient {
  /**
   * Sends a call.
   *
   * @param call the call
   * @return the service's answer of any status; a refusal when no byte left; an uncertain error
   *     when the call may have run
   */
  CompletionStage<Result<PlainAnswer>> send(PlainCall call);
}
