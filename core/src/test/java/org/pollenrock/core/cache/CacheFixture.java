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

/** Names, chains and times that the tests of the cache index share. */
final class CacheFixture {
  static final BackendServerId SERVER = new BackendServerId("s1");
  static final Incarnation FIRST_INCARNATION = new Incarnation(1);
  static final Incarnation SECOND_INCARNATION = new Incarnation(2);
  static final long NANOS_PER_SECOND = 1_000_000_000L;

  private static final int BLOCK_BYTES = 16;
  private static final PrefixFingerprinter FINGERPRINTER = new PrefixFingerprinter();

  private CacheFixture() {}

  /** Prompts with the same first {@code shared} blocks and their own blocks after them. */
  static PrefixChain chain(String customer, int prompt, int shared, int blocks) {
    return chain(customer, "v1", prompt, shared, blocks);
  }

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
