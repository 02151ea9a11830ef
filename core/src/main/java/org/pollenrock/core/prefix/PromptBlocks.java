package org.pollenrock.core.prefix;

import java.util.Arrays;
import org.pollenrock.core.model.BlockKey;

/**
 * Content digests of the full blocks of one prompt.
 *
 * <p>Instances are immutable and hold no prompt text. The unscoped key of a prefix identifies its
 * content only; it ranks servers and counts rates and is never sent to an engine.
 */
public final class PromptBlocks {
  /** Bytes of canonical prompt text that one token takes on average. */
  public static final int BYTES_PER_TOKEN = 4;

  private final byte[] contentDigests;
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
   * Number of full blocks; the last partial block is not keyed.
   *
   * @return the count, 0 for a prompt shorter than one block
   */
  public int count() {
    return prefixKeys.length / 2;
  }

  /**
   * Length of the canonical prompt text.
   *
   * @return bytes
   */
  public int promptBytes() {
    return promptBytes;
  }

  /**
   * Length of a block.
   *
   * @return bytes of canonical prompt text
   */
  public int blockSizeBytes() {
    return blockSizeBytes;
  }

  /**
   * Estimates the length of the prompt.
   *
   * @return tokens, at least 1
   */
  public int estimatedTokens() {
    return Math.max(1, promptBytes / BYTES_PER_TOKEN);
  }

  /**
   * Identifies the content of the first blocks, independent of customer and weights version.
   *
   * @param blocks how many blocks the prefix has, 1 to {@link #count()}
   * @return the unscoped key
   * @throws IndexOutOfBoundsException when there are fewer blocks
   */
  public BlockKey prefixKey(int blocks) {
    int at = 2 * (blocks - 1);
    return new BlockKey(prefixKeys[at], prefixKeys[at + 1]);
  }

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
