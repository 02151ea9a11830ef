package org.pollenrock.adapters.kv;

import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.model.BlockKey;

/** Client of the KV cache store. */
public interface KvStoreClient {
  /**
   * Reads a block.
   *
   * @param key key of the block
   * @return the block, empty when the store does not hold it, or the error
   */
  CompletionStage<Result<Optional<byte[]>>> get(BlockKey key);

  /**
   * Stores a block.
   *
   * @param key key of the block
   * @param block its content
   * @return true when stored, or the error
   */
  CompletionStage<Result<Boolean>> put(BlockKey key, byte[] block);
}
