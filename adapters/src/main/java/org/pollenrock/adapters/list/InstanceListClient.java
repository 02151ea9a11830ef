package org.pollenrock.adapters.list;

import java.util.concurrent.CompletionStage;
import org.pollenrock.core.error.Result;

/** Client of the instance list. */
public interface InstanceListClient {
  /**
   * Reads the list, which may lag behind.
   *
   * @return the list, or the error
   */
  CompletionStage<Result<InstanceList>> read();
}
