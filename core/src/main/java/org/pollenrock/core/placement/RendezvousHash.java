package org.pollenrock.core.placement;

import org.pollenrock.core.model.BlockKey;

/**
 * Rendezvous (highest-random-weight) hashing: all routers rank the servers for a key in the same
 * order, and a server that joins or leaves changes the assignment of its own keys only.
 */
public final class RendezvousHash {
  private static final long MULTIPLIER_1 = 0xBF58476D1CE4E5B9L;
  private static final long MULTIPLIER_2 = 0x94D049BB133111EBL;
  private static final long FNV_OFFSET = 0xCBF29CE484222325L;
  private static final long FNV_PRIME = 0x100000001B3L;

  private RendezvousHash() {}

  /**
   * Hashes a name with FNV-1a over its UTF-16 code units and mixes the result. The value is the
   * same in every process.
   *
   * @param name the name
   * @return 64-bit hash
   */
  public static long hash(String name) {
    long hash = FNV_OFFSET;
    for (int position = 0; position < name.length(); position++) {
      hash = (hash ^ name.charAt(position)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /**
   * Returns the weight of a server for a key. The server with the highest weight ranks first.
   *
   * @param key the key
   * @param serverIdHash hash of the server's id, see {@link #hash}
   * @return the weight, to be compared as an unsigned number
   */
  public static long weight(BlockKey key, long serverIdHash) {
    return mix(key.high() ^ Long.rotateLeft(key.low(), 32) ^ serverIdHash);
  }

  /**
   * Mixes the bits of a number with the finalizer of SplitMix64.
   *
   * @param value the number
   * @return the mixed bits
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
   * @param serverIdHashes hashes of the servers' ids
   * @param count number of servers to find
   * @return positions in {@code serverIdHashes}, highest weight first; of equal weights the lower
   *     position comes first
   */
  public static int[] top(BlockKey key, long[] serverIdHashes, int count) {
    int size = Math.min(count, serverIdHashes.length);
    int[] positions = new int[size];
    long[] weights = new long[size];
    int found = 0;
    for (int server = 0; server < serverIdHashes.length; server++) {
      long weight = weight(key, serverIdHashes[server]) ^ Long.MIN_VALUE;
      if (found == size && (size == 0 || weight <= weights[size - 1])) {
        continue;
      }
      int rank = found < size ? found++ : size - 1;
      while (rank > 0 && weights[rank - 1] < weight) {
        weights[rank] = weights[rank - 1];
        positions[rank] = positions[rank - 1];
        rank--;
      }
      weights[rank] = weight;
      positions[rank] = server;
    }
    return positions;
  }
}
