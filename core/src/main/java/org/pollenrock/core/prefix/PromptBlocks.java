package org.pollenrock.core.prefix;

import java.util.Arrays;
import org.pollenrock.core.model.BlockKey;

/**
 * Content digests of the full blocks of one prompt.
 *
 * <p>Instances are immutable and hold no prompt text. The unscoped key of a prefix identifies the
 * content of the prefix only. It is used to rank servers and to track request rates, and is never
 * sent to an engine.
 */
public final class PromptBlocks {
  /** Average number of bytes of canonical prompt text in one token. */
  public static final int BYTES_PER_TOKEN = 4;

  private final byte[] contentDigests;

  /** Two elements for the unscoped key of each prefix: its first and its last 64 bits. */
  private final long[] prefixKeys;

  private final int blockSizeBytes;
  private final int promptBytes;

  PromptBlocks(byte[] contentDigests, long[] prefixKeys, int blockSizeBytes, int promptBytes) {
    this.contentDigests = contentDigests;
    this.prefixKeys = prefixKeys;
    this.blockSizeBytes = blockSizeBytes;
    this.promptBytes = promptBytes;
  }

  /**
   * Returns the number of full blocks. A partial block at the end has no digest and no key.
   *
   * @return number of full blocks, 0 for a prompt shorter than one block
   */
  public int count() {
    return prefixKeys.length / 2;
  }

  /**
   * Returns the length of the canonical prompt text.
   *
   * @return length in bytes
   */
  public int promptBytes() {
    return promptBytes;
  }

  /**
   * Returns the size of a block.
   *
   * @return size in bytes of canonical prompt text
   */
  public int blockSizeBytes() {
    return blockSizeBytes;
  }

  /**
   * Estimates the length of the prompt in tokens.
   *
   * @return number of tokens, at least 1
   */
  public int estimatedTokens() {
    return Math.max(1, promptBytes / BYTES_PER_TOKEN);
  }

  /**
   * Returns the unscoped key of a prefix, which depends on the content of its blocks only, not on
   * customer or weights version.
   *
   * @param blocks number of blocks of the prefix, 1 to {@link #count()}
   * @return the unscoped key
   * @throws IndexOutOfBoundsException when the prompt has fewer blocks
   */
  public BlockKey prefixKey(int blocks) {
    int index = 2 * (blocks - 1);
    return new BlockKey(prefixKeys[index], prefixKeys[index + 1]);
  }

  /** Returns the content digests of all full blocks, 32 bytes each; not a copy. */
  byte[] contentDigests() {
    return contentDigests;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof PromptBlocks blocks
        && blockSizeBytes == blocks.blockSizeBytes
        && promptBytes == blocks.promptBytes
        && Arrays.equals(contentDigests, blocks.contentDigests);
  }

  @Override
  public int hashCode() {
    return 31 * Arrays.hashCode(prefixKeys) + promptBytes;
  }

  @Override
  public String toString() {
    return "PromptBlocks[" + count() + " blocks, " + promptBytes + " bytes]";
  }
}
