package org.pollenrock.core.cache;

import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.prefix.CacheScope;
import org.pollenrock.core.prefix.PrefixChain;
import org.pollenrock.core.prefix.PrefixFingerprinter;

/** Shared constants and prefix chains for the tests of the cache index. */
final class CacheFixture {
  static final BackendServerId SERVER = new BackendServerId("s1");
  static final Incarnation FIRST_INCARNATION = new Incarnation(1);
  static final Incarnation SECOND_INCARNATION = new Incarnation(2);
  static final long NANOS_PER_SECOND = 1_000_000_000L;

  private static final int BLOCK_BYTES = 16;
  private static final PrefixFingerprinter FINGERPRINTER = new PrefixFingerprinter();

  private CacheFixture() {}

  /**
   * Returns the chain of a prompt under the weights version v1. Prompts of one customer share their
   * first {@code shared} blocks and have different blocks after them.
   */
  static PrefixChain chain(String customer, int prompt, int shared, int blocks) {
    return chain(customer, "v1", prompt, shared, blocks);
  }

  /** Returns the chain of a prompt under the given weights version. */
  static PrefixChain chain(String customer, String weights, int prompt, int shared, int blocks) {
    byte[] bytes = new byte[blocks * BLOCK_BYTES];
    for (int block = shared; block < blocks; block++) {
      bytes[block * BLOCK_BYTES] = (byte) prompt;
      bytes[block * BLOCK_BYTES + 1] = (byte) (prompt >> 8);
      bytes[block * BLOCK_BYTES + 2] = 1;
    }
    CacheScope scope =
        new CacheScope(
            new CustomerId(customer),
            new ModelId("m"),
            Optional.empty(),
            new WeightsVersion(weights));
    return FINGERPRINTER.deriveChain(FINGERPRINTER.digestPrompt(bytes, BLOCK_BYTES), scope);
  }
}
