package org.pollenrock.core.dispatch;

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
   * Hash of the longest beginning that other requests share.
   *
   * @return the hash; the model's alone when the prompt has no parts
   */
  public long subject() {
    if (parts.isEmpty()) {
      return RendezvousHash.seed(model);
    }
    int shared = Math.max(0, parts.size() - 2);
    return RendezvousHash.mix(
        RendezvousHash.seed(model) ^ RendezvousHash.seed(parts.get(shared).id()));
  }
}
