package org.pollenrock.core.settings;

import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import org.pollenrock.core.digest.Sha256;

/**
 * SHA-256 of a tree, kept so that a change costs little.
 *
 * <p>Customers fall into 256 buckets by the hash of their names; each bucket has a digest, and the
 * digest of the tree covers those and the other sections. A change of one customer encodes one
 * bucket again, not all customers.
 */
public final class StateDigest {
  /** Digest of the empty tree. */
  public static final StateDigest EMPTY = of(SettingsTree.EMPTY);

  private static final int BUCKETS = 256;

  private final byte[][] bucketDigests;
  private final int[] bucketBytes;
  private final int sharedBytes;
  private final byte[] digest;

  private StateDigest(byte[][] bucketDigests, int[] bucketBytes, byte[] shared) {
    this.bucketDigests = bucketDigests;
    this.bucketBytes = bucketBytes;
    this.sharedBytes = shared.length;
    MessageDigest sha = Sha256.newDigest();
    sha.update(shared);
    for (byte[] bucket : bucketDigests) {
      sha.update(bucket);
    }
    this.digest = sha.digest();
  }

  /**
   * Computes the digest of a tree.
   *
   * @param tree the tree
   * @return its digest
   */
  public static StateDigest of(SettingsTree tree) {
    boolean[] all = new boolean[BUCKETS];
    Arrays.fill(all, true);
    return compute(tree, all, new byte[BUCKETS][], new int[BUCKETS]);
  }

  /**
   * Computes the digest of a changed tree.
   *
   * @param before the tree of this digest
   * @param after the changed tree
   * @return its digest, equal to that of {@link #of}
   */
  StateDigest next(SettingsTree before, SettingsTree after) {
    boolean[] stale = new boolean[BUCKETS];
    // Untouched entries of neighbouring trees are the same objects.
    before.customers().forEachChanged(after.customers(), name -> stale[bucket(name)] = true);
    return compute(after, stale, bucketDigests.clone(), bucketBytes.clone());
  }

  private static int bucket(String name) {
    int hash = name.hashCode();
    return (hash ^ hash >>> 8 ^ hash >>> 16) & BUCKETS - 1;
  }

  private static StateDigest compute(
      SettingsTree tree, boolean[] stale, byte[][] digests, int[] sizes) {
    ByteSink[] sinks = new ByteSink[BUCKETS];
    for (int i = 0; i < BUCKETS; i++) {
      sinks[i] = stale[i] ? new ByteSink() : null;
    }
    for (String name : tree.customers().names()) {
      ByteSink sink = sinks[bucket(name)];
      if (sink != null) {
        sink.putText(name);
        sink.putNode(TreeWriter.entry(tree, "customers", name).orElseThrow());
      }
    }
    for (int i = 0; i < BUCKETS; i++) {
      if (sinks[i] != null) {
        digests[i] = Sha256.newDigest().digest(sinks[i].toBytes());
        sizes[i] = sinks[i].size();
      }
    }
    ByteSink shared = new ByteSink();
    shared.putNode(TreeWriter.write(tree.withoutCustomers()));
    return new StateDigest(digests, sizes, shared.toBytes());
  }

  /**
   * Size of the encoded tree.
   *
   * @return bytes
   */
  public long encodedBytes() {
    return (long) sharedBytes + Arrays.stream(bucketBytes).asLongStream().sum();
  }

  /**
   * The digest.
   *
   * @return 32 new bytes
   */
  public byte[] toBytes() {
    return digest.clone();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof StateDigest state && Arrays.equals(digest, state.digest);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(digest);
  }

  /** The digest as 64 hexadecimal digits. */
  @Override
  public String toString() {
    return HexFormat.of().formatHex(digest);
  }
}
