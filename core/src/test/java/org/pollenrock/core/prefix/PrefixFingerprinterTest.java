package org.pollenrock.core.prefix;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.pollenrock.core.model.AdapterId;
import org.pollenrock.core.model.BlockKey;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;

class PrefixFingerprinterTest {
  private static final int BLOCK_BYTES = 64;

  private final PrefixFingerprinter fingerprinter = new PrefixFingerprinter();

  private static CacheScope scope(String customer, String model, String adapter, String weights) {
    Optional<AdapterId> loaded = Optional.ofNullable(adapter).map(AdapterId::new);
    return new CacheScope(
        new CustomerId(customer), new ModelId(model), loaded, new WeightsVersion(weights));
  }

  private static byte[] prompt(long seed, int length) {
    byte[] bytes = new byte[length];
    new Random(seed).nextBytes(bytes);
    return bytes;
  }

  private PrefixChain chain(byte[] prompt, CacheScope scope) {
    return fingerprinter.deriveChain(fingerprinter.digestPrompt(prompt, BLOCK_BYTES), scope);
  }

  /**
   * Guards against a chain that differs from its definition, for example due to a reused buffer.
   */
  @Property(seed = "4101", tries = 100, shrinking = ShrinkingMode.FULL)
  void chainEqualsDefinition(@ForAll long seed, @ForAll @IntRange(min = 0, max = 600) int length)
      throws NoSuchAlgorithmException {
    byte[] prompt = prompt(seed, length);
    CacheScope scope = scope("c", "m", seed % 2 == 0 ? "a" : null, "v1");
    MessageDigest sha = MessageDigest.getInstance("SHA-256");
    byte[] parent = expectedScopeDigest(scope);
    List<BlockKey> expected = new ArrayList<>();
    for (int offset = 0; offset + BLOCK_BYTES <= length; offset += BLOCK_BYTES) {
      byte[] content = sha.digest(Arrays.copyOfRange(prompt, offset, offset + BLOCK_BYTES));
      sha.update(parent);
      BlockKey key = BlockKey.of(sha.digest(content));
      expected.add(key);
      parent = key.toBytes();
    }
    assertThat(chain(prompt, scope).keys()).isEqualTo(expected);
  }

  private static byte[] expectedScopeDigest(CacheScope scope) throws NoSuchAlgorithmException {
    ByteBuffer encoded = ByteBuffer.allocate(200);
    put(encoded, scope.customer().value());
    put(encoded, scope.model().value());
    encoded.put((byte) (scope.adapter().isPresent() ? 1 : 0));
    put(encoded, scope.adapter().map(AdapterId::value).orElse(""));
    put(encoded, scope.weights().value());
    byte[] bytes = Arrays.copyOf(encoded.array(), encoded.position());
    return MessageDigest.getInstance("SHA-256").digest(bytes);
  }

  private static void put(ByteBuffer buffer, String value) {
    buffer.putInt(value.length()).put(value.getBytes(StandardCharsets.UTF_8));
  }

  /** Guards against keys that are equal beyond the common prefix or differ within it. */
  @Property(seed = "4102", tries = 100, shrinking = ShrinkingMode.FULL)
  void keysAreEqualExactlyUpToTheFirstDifference(
      @ForAll long seed, @ForAll @IntRange(min = 0, max = 639) int changed) {
    byte[] left = prompt(seed, 640);
    byte[] right = left.clone();
    right[changed] ^= 1;
    CacheScope scope = scope("c", "m", null, "v1");
    List<BlockKey> leftKeys = chain(left, scope).keys();
    List<BlockKey> rightKeys = chain(right, scope).keys();
    for (int block = 0; block < leftKeys.size(); block++) {
      boolean commonBlock = (block + 1) * BLOCK_BYTES <= changed;
      assertThat(leftKeys.get(block).equals(rightKeys.get(block))).isEqualTo(commonBlock);
    }
  }

  /**
   * Guards against a customer that obtains the keys of another customer by its choice of names,
   * which is possible when the fields of a scope are concatenated without their lengths.
   */
  @Example
  void differentScopesHaveDifferentKeys() {
    byte[] prompt = prompt(1, 4 * BLOCK_BYTES);
    List<CacheScope> scopes =
        List.of(
            scope("ab", "c", null, "v"),
            scope("a", "bc", null, "v"),
            scope("ab", "c", "v", "v"),
            scope("ab", "cv", null, "v"),
            scope("ab", "c", null, "v2"),
            scope("ab", "c", "x", "v"),
            scope("ab\0c", "c", null, "v"),
            scope("b", "c", null, "v"));
    List<BlockKey> all = new ArrayList<>();
    scopes.forEach(scope -> all.addAll(chain(prompt, scope).keys()));
    assertThat(all).hasSize(scopes.size() * 4).doesNotHaveDuplicates();
  }

  /** Guards against keys for a partial block, which engines do not cache. */
  @Example
  void lastPartialBlockHasNoKey() {
    assertThat(fingerprinter.digestPrompt(new byte[BLOCK_BYTES - 1], BLOCK_BYTES).count()).isZero();
    assertThat(fingerprinter.digestPrompt(new byte[2 * BLOCK_BYTES + 1], BLOCK_BYTES).count())
        .isEqualTo(2);
  }

  /** Guards against equal keys for equal content at two positions. */
  @Example
  void equalBlocksAtDifferentPositionsHaveDifferentKeys() {
    PrefixChain chain = chain(new byte[4 * BLOCK_BYTES], scope("c", "m", null, "v"));
    assertThat(chain.keys()).doesNotHaveDuplicates();
  }

  /** Guards against a division by zero when the block size setting is invalid. */
  @Example
  void blockSizeMustBePositive() {
    assertThatThrownBy(() -> fingerprinter.digestPrompt(new byte[1], 0))
        .isInstanceOf(IllegalArgumentException.class);
  }
}
