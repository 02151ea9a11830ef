package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Prompt of a request to an engine, as its parts.
 *
 * @param model the model
 * @param tokens tokens of the whole prompt
 * @param maxOutputTokens most tokens that the engine generates
 * @param parts nested parts in order; the last one belongs to this request or its session
 */
public record Prompt(String model, int tokens, int maxOutputTokens, List<PromptPart> parts) {
  /** Copies the parts. */
  public Prompt {
    parts = List.copyOf(parts);
  }

  /**
   * Tokens of the longest prefix that other requests share.
   *
   * @return the number
   */
  public int sharedTokens() {
    int shared = 0;
    for (PromptPart part : sharedParts()) {
      shared += part.tokens();
    }
    return shared;
  }

  /**
   * Prefixes that other requests share, one for each part, the shortest first.
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
   * Hash by which requests are kept together: that of the prefix whose last part is the longest,
   * since reading that part again costs most.
   *
   * @return the hash; the model's alone when no part is shared
   */
  public long affinityHash() {
    List<SharedPrefix> prefixes = sharedPrefixes();
    long affinity = RendezvousHash.hash(model);
    int longest = 0;
    for (int i = 0; i < prefixes.size(); i++) {
      if (parts.get(i).tokens() > longest) {
        longest = parts.get(i).tokens();
        affinity = prefixes.get(i).hash();
      }
    }
    return affinity;
  }

  private List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }
}
