package org.pollenrock.core.prefix;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.pollenrock.core.model.BlockKey;

/**
 * Keys of the full blocks of one prompt under one scope, from the first block to the last.
 *
 * <p>Each key covers all blocks before it, so equal keys at the same position mean equal prefixes.
 */
public final class PrefixChain {
  private final CacheScope scope;
  private final long[] keys;

  PrefixChain(CacheScope scope, long[] keys) {
    this.scope = Objects.requireNonNull(scope, "scope");
    this.keys = keys;
  }

  /**
   * Scope that all keys are derived from.
   *
   * @return the scope
   */
  public CacheScope scope() {
    return scope;
  }

  /**
   * Number of keys.
   *
   * @return the count of full blocks
   */
  public int length() {
    return keys.length / 2;
  }

  /**
   * First 64 bits of a key, without allocation.
   *
   * @param block position, from 0
   * @return the bits
   */
  public long high(int block) {
    return keys[2 * block];
  }

  /**
   * Last 64 bits of a key, without allocation.
   *
   * @param block position, from 0
   * @return the bits
   */
  public long low(int block) {
    return keys[2 * block + 1];
  }

  /**
   * Key of one block.
   *
   * @param block position, from 0
   * @return the key
   */
  public BlockKey key(int block) {
    return new BlockKey(high(block), low(block));
  }

  /**
   * All keys in order, as they are sent to an engine.
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
