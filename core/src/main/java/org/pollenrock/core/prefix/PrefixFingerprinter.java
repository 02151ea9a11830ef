package org.pollenrock.core.prefix;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.DigestException;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.Map;
import org.pollenrock.core.digest.Sha256;
import org.pollenrock.core.model.AdapterId;

/**
 * Computes content digests of prompts and derives chains of block keys from them.
 *
 * <p>Not thread-safe: instances reuse a digest object, buffers and a bounded cache of scope
 * digests.
 */
public final class PrefixFingerprinter {
  /** Default block size in bytes, about 1,000 tokens. */
  public static final int DEFAULT_BLOCK_SIZE_BYTES = 4096;

  private static final int DIGEST_BYTES = 32;
  private static final int KEY_BYTES = 16;
  private static final int MAX_CACHED_SCOPES = 4096;

  private final MessageDigest digest = Sha256.newDigest();
  private final byte[] output = new byte[DIGEST_BYTES];
  private final byte[] parentKey = new byte[KEY_BYTES];
  private final ByteBuffer outputView = ByteBuffer.wrap(output);
  private final Map<CacheScope, ScopeDigest> scopeDigests = new ScopeDigestCache();

  /** Creates a fingerprinter with SHA-256. */
  public PrefixFingerprinter() {}

  /**
   * Computes the content digests of the full blocks of a prompt. Needed once for each prompt.
   *
   * @param canonicalPrompt the canonical prompt text in UTF-8
   * @param blockSizeBytes size of a block in bytes, at least 1
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
   * Derives the block keys of a prompt under one scope.
   *
   * @param blocks content digests of the prompt
   * @param scope customer, model, adapter and weights version
   * @return the keys
   */
  public PrefixChain deriveChain(PromptBlocks blocks, CacheScope scope) {
    ScopeDigest scopeDigest = scopeDigests.get(scope);
    if (scopeDigest == null) {
      scopeDigest = new ScopeDigest(scope, computeScopeDigest(scope));
      scopeDigests.put(scope, scopeDigest);
    }
    long[] keys = new long[2 * blocks.count()];
    digest.update(scopeDigest.digest);
    deriveKeys(blocks.contentDigests(), keys);
    return new PrefixChain(scopeDigest.scope, keys);
  }

  /**
   * Computes the chain of keys. The digest must already contain the parent of the first block: the
   * scope digest, or nothing for keys without scope.
   */
  private void deriveKeys(byte[] contents, long[] keys) {
    for (int index = 0; index < keys.length; index += 2) {
      digest.update(contents, index / 2 * DIGEST_BYTES, DIGEST_BYTES);
      writeDigest(output, 0);
      keys[index] = outputView.getLong(0);
      keys[index + 1] = outputView.getLong(Long.BYTES);
      System.arraycopy(output, 0, parentKey, 0, KEY_BYTES);
      digest.update(parentKey);
    }
    digest.reset();
  }

  private void writeDigest(byte[] target, int offset) {
    try {
      digest.digest(target, offset, DIGEST_BYTES);
    } catch (DigestException e) {
      throw new IllegalStateException("a SHA-256 digest must fit into 32 bytes", e);
    }
  }

  /**
   * Computes the digest of a scope. Each field is prefixed with its length, so that different
   * scopes have different encodings.
   */
  private byte[] computeScopeDigest(CacheScope scope) {
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
   * Digest of a scope.
   *
   * @param scope the scope instance that all chains of this scope share
   * @param digest the digest, 32 bytes
   */
  private record ScopeDigest(CacheScope scope, byte[] digest) {}

  /** Digests of the most recently used scopes. */
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
