package org.pollenrock.core.placement;

import org.pollenrock.core.model.BlockKey;

/**
 * Highest-random-weight hashing: every router ranks the servers for a key in the same order, and a
 * server that joins or leaves changes only its own keys.
 */
public final class RendezvousHash {
  private static final long MULTIPLIER_1 = 0xBF58476D1CE4E5B9L;
  private static final long MULTIPLIER_2 = 0x94D049BB133111EBL;
  private static final long FNV_OFFSET = 0xCBF29CE484222325L;
  private static final long FNV_PRIME = 0x100000001B3L;

  private RendezvousHash() {}

  /**
   * Hashes a name; the value is the same in every process.
   *
   * @param name the name
   * @return 64 bits
   */
  public static long hash(String name) {
    long hash = FNV_OFFSET;
    for (int at = 0; at < name.length(); at++) {
      hash = (hash ^ name.charAt(at)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /**
   * Weight of a server for a key; the highest wins.
   *
   * @param key the key
   * @param serverSeed hash of the server's name
   * @return the weight, to be compared as an unsigned number
   */
  public static long weight(BlockKey key, long serverSeed) {
    return mix(key.high() ^ Long.rotateLeft(key.low(), 32) ^ serverSeed);
  }

  /**
   * Spreads the bits of a number (the finalizer of SplitMix64).
   *
   * @param value the number
   * @return 64 well-mixed bits
   */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * MULTIPLIER_1;
    mixed = (mixed ^ (mixed >>> 27)) * MULTIPLIER_2;
    return mixed ^ (mixed >>> 31);
  }

  /**
   * Finds the servers with the highest weights.
   *
   * @param key the key
   * @param serverSeeds hashes of the servers' names
   * @param count how many to find
   * @return positions in {@code serverSeeds}, best first; ties go to the lower position
   */
  public static int[] top(BlockKey key, long[] serverSeeds, int count) {
    int size = Math.min(count, serverSeeds.length);
    int[] best = new int[size];
    long[] weights = new long[size];
    int filled = 0;
    for (int server = 0; server < serverSeeds.length; server++) {
      long weight = weight(key, serverSeeds[server]) ^ Long.MIN_VALUE;
      if (filled == size && (size == 0 || weight <= weights[size - 1])) {
        continue;
      }
      int at = filled < size ? filled++ : size - 1;
      while (at > 0 && weights[at - 1] < weight) {
        weights[at] = weights[at - 1];
        best[at] = best[at - 1];
        at--;
      }
      weights[at] = weight;
      best[at] = server;
    }
    return best;
  }
}
