package org.pollenrock.core.prefix;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.DigestException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.LinkedHashMap;
import java.util.Map;
import org.pollenrock.core.model.AdapterId;

/**
 * Computes content digests of prompts and chains of block keys.
 *
 * <p>Not thread-safe: a digest object and a bounded table of scope digests are reused.
 */
public final class PrefixFingerprinter {
  /** Default block size in bytes, about 1,000 tokens. */
  public static final int DEFAULT_BLOCK_SIZE_BYTES = 4096;

  private static final int DIGEST_BYTES = 32;
  private static final int KEY_BYTES = 16;
  private static final int MAX_CACHED_SCOPES = 4096;

  private final MessageDigest digest;
  private final byte[] output = new byte[DIGEST_BYTES];
  private final byte[] parentKey = new byte[KEY_BYTES];
  private final ByteBuffer outputView = ByteBuffer.wrap(output);
  private final Map<CacheScope, ScopeDigest> scopeDigests = new ScopeDigestCache();

  /** Creates a fingerprinter with SHA-256. */
  public PrefixFingerprinter() {
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  /**
   * Digests the full blocks of a prompt; done once per prompt.
   *
   * @param canonicalPrompt the canonical prompt text in UTF-8
   * @param blockSizeBytes length of a block in bytes, at least 1
   * @return the content digests
   * @throws IllegalArgumentException when the block size is not positive
   */
  public PromptBlocks digestPrompt(byte[] canonicalPrompt, int blockSizeBytes) {
    if (blockSizeBytes < 1) {
      throw new IllegalArgumentException("block size must be at least 1 byte: " + blockSizeBytes);
    }
    int count = canonicalPrompt.length / blockSizeBytes;
    byte[] contents = new byte[count * DIGEST_BYTES];
    long[] prefixKeys = new long[2 * count];
    for (int block = 0; block < count; block++) {
      digest.update(canonicalPrompt, block * blockSizeBytes, blockSizeBytes);
      writeDigest(contents, block * DIGEST_BYTES);
    }
    deriveKeys(contents, prefixKeys);
    return new PromptBlocks(contents, prefixKeys, blockSizeBytes, canonicalPrompt.length);
  }

  /**
   * Derives the block keys of a prompt for one scope.
   *
   * @param blocks content digests of the prompt
   * @param scope customer, model, adapter and weights version
   * @return the keys
   */
  public PrefixChain deriveChain(PromptBlocks blocks, CacheScope scope) {
    ScopeDigest known = scopeDigests.get(scope);
    if (known == null) {
      known = new ScopeDigest(scope, scopeDigest(scope));
      scopeDigests.put(scope, known);
    }
    long[] keys = new long[2 * blocks.count()];
    digest.update(known.digest);
    deriveKeys(blocks.contentDigests(), keys);
    return new PrefixChain(known.scope, keys);
  }

  /** Chains over what was already fed to the digest, which is the parent of the first block. */
  private void deriveKeys(byte[] contents, long[] keys) {
    for (int at = 0; at < keys.length; at += 2) {
      digest.update(contents, at / 2 * DIGEST_BYTES, DIGEST_BYTES);
      writeDigest(output, 0);
      keys[at] = outputView.getLong(0);
      keys[at + 1] = outputView.getLong(Long.BYTES);
      System.arraycopy(output, 0, parentKey, 0, KEY_BYTES);
      digest.update(parentKey);
    }
    digest.reset();
  }

  private void writeDigest(byte[] target, int offset) {
    try {
      digest.digest(target, offset, DIGEST_BYTES);
    } catch (DigestException e) {
      throw new IllegalStateException("a SHA-256 digest has 32 bytes", e);
    }
  }

  /** Each field has its length in front, so no two scopes have the same encoding. */
  private byte[] scopeDigest(CacheScope scope) {
    updateField(scope.customer().value());
    updateField(scope.model().value());
    digest.update((byte) (scope.adapter().isPresent() ? 1 : 0));
    updateField(scope.adapter().map(AdapterId::value).orElse(""));
    updateField(scope.weights().value());
    return digest.digest();
  }

  private void updateField(String value) {
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    digest.update(bytes);
  }

  /**
   * Digest of a scope together with the one instance that all chains of it share.
   *
   * @param scope the shared instance
   * @param digest 32 bytes
   */
  private record ScopeDigest(CacheScope scope, byte[] digest) {}

  /** Keeps the most recently used scopes. */
  private static final class ScopeDigestCache extends LinkedHashMap<CacheScope, ScopeDigest> {
    private static final long serialVersionUID = 1L;

    ScopeDigestCache() {
      super(64, 0.75f, true);
    }

    @Override
    protected boolean removeEldestEntry(Map.Entry<CacheScope, ScopeDigest> eldest) {
      return size() > MAX_CACHED_SCOPES;
    }
  }
}
