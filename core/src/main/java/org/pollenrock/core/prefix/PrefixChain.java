package org.pollenrock.core.prefix;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.pollenrock.core.model.BlockKey;

/**
 * Keys of the full blocks of one prompt under one scope, from the first block to the last.
 *
 * <p>Each key is derived from its block and all preceding blocks, so equal keys at the same
 * position mean equal prefixes.
 */
public final class PrefixChain {
  private final CacheScope scope;

  /** Two elements for each key: its first and its last 64 bits. */
  private final long[] keys;

  PrefixChain(CacheScope scope, long[] keys) {
    this.scope = Objects.requireNonNull(scope, "scope");
    this.keys = keys;
  }

  /**
   * Returns the scope that all keys are derived from.
   *
   * @return the scope
   */
  public CacheScope scope() {
    return scope;
  }

  /**
   * Returns the number of keys.
   *
   * @return number of full blocks
   */
  public int length() {
    return keys.length / 2;
  }

  /**
   * Returns the first 64 bits of a key, without allocation.
   *
   * @param block position of the block, from 0
   * @return the bits
   */
  public long high(int block) {
    return keys[2 * block];
  }

  /**
   * Returns the last 64 bits of a key, without allocation.
   *
   * @param block position of the block, from 0
   * @return the bits
   */
  public long low(int block) {
    return keys[2 * block + 1];
  }

  /**
   * Returns the key of one block.
   *
   * @param block position of the block, from 0
   * @return the key
   */
  public BlockKey key(int block) {
    return new BlockKey(high(block), low(block));
  }

  /**
   * Returns all keys in order, as they are sent to an engine.
   *
   * @return a new list
   */
  public List<BlockKey> keys() {
    List<BlockKey> list = new ArrayList<>(length());
    for (int block = 0; block < length(); block++) {
      list.add(key(block));
    }
    return list;
  }

  @Override
  public String toString() {
    return "PrefixChain[" + length() + " blocks, " + scope + "]";
  }
}
