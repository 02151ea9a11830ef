package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Prompt of a request to an engine, divided into parts.
 *
 * @param model name of the model
 * @param tokens number of tokens of the whole prompt
 * @param maxOutputTokens maximum number of tokens that the engine generates
 * @param parts consecutive parts of the prompt; the last one belongs to this request or its session
 *     alone
 */
public record Prompt(String model, int tokens, int maxOutputTokens, List<PromptPart> parts) {
  /** Minimum length of a part that determines the affinity, relative to the longest part before. */
  private static final double MIN_AFFINITY_SHARE = 0.2;

  /** Copies the parts. */
  public Prompt {
    parts = List.copyOf(parts);
  }

  /**
   * Returns the length of the longest prefix that other requests share.
   *
   * @return the number of tokens
   */
  public int sharedTokens() {
    int shared = 0;
    for (PromptPart part : sharedParts()) {
      shared += part.tokens();
    }
    return shared;
  }

  /**
   * Returns the prefixes that other requests share, one for each shared part, the shortest first.
   *
   * @return the prefixes
   */
  public List<SharedPrefix> sharedPrefixes() {
    List<SharedPrefix> prefixes = new ArrayList<>(parts.size());
    long hash = RendezvousHash.hash(model);
    int tokens = 0;
    for (PromptPart part : sharedParts()) {
      hash = RendezvousHash.mix(hash ^ RendezvousHash.hash(part.id()));
      tokens += part.tokens();
      prefixes.add(new SharedPrefix(hash, tokens));
    }
    return prefixes;
  }

  /**
   * Returns the hash that sends requests with the same prefix to the same server. It is the hash of
   * the longest shared prefix, unless its last part is short compared to the longest part: then the
   * prefix that ends before the short parts counts, because the long part would otherwise be read
   * on every server.
   *
   * @return the hash; only that of the model if no part is shared
   */
  public long affinityHash() {
    List<SharedPrefix> prefixes = sharedPrefixes();
    long affinityHash = RendezvousHash.hash(model);
    int longest = 0;
    for (int i = 0; i < prefixes.size(); i++) {
      int tokens = parts.get(i).tokens();
      if (tokens > MIN_AFFINITY_SHARE * longest) {
        longest = Math.max(longest, tokens);
        affinityHash = prefixes.get(i).hash();
      }
    }
    return affinityHash;
  }

  /**
   * Returns the parts that other requests share, in order; all but the last one.
   *
   * @return the parts
   */
  public List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }
}
