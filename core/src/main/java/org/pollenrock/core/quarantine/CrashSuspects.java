package org.pollenrock.core.quarantine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.dispatch.PromptPart;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * What of a request may crash the server that runs it: the shared parts of its prompt, which other
 * requests have too, and the request itself, which callers may repeat.
 *
 * @param prompt the prompt; empty for a plain request
 * @param fingerprint identity of the request; empty if only its prompt is considered
 */
public record CrashSuspects(Optional<Prompt> prompt, Optional<RequestFingerprint> fingerprint) {
  /** Bit of a hash that is set for requests, and not for parts. */
  private static final long REQUEST_BIT = 1;

  /** Id of a request in reports; the hash tells one from another. */
  private static final String REQUEST_ID = "request";

  /**
   * Part of a prompt, or request.
   *
   * @param hash its hash, the same at all instances
   * @param id id of the part
   */
  record Suspect(long hash, String id) {}

  /**
   * Returns the hash that identifies a part of prompts for a model, the same in every process.
   *
   * @param model name of the model
   * @param partId id of the part
   * @return the hash
   */
  public static long hash(String model, String partId) {
    return RendezvousHash.mix(RendezvousHash.hash(model) ^ RendezvousHash.hash(partId))
        & ~REQUEST_BIT;
  }

  /**
   * Returns the hash that identifies a request, the same in every process.
   *
   * @param fingerprint the request
   * @return the hash
   */
  public static long hash(RequestFingerprint fingerprint) {
    return fingerprint.hash() | REQUEST_BIT;
  }

  /** Returns whether a hash is that of a request. */
  static boolean isRequest(long hash) {
    return (hash & REQUEST_BIT) != 0;
  }

  /**
   * Returns the prompt as the only suspect.
   *
   * @return the suspects without the request
   */
  public CrashSuspects withoutRequest() {
    return new CrashSuspects(prompt, Optional.empty());
  }

  /** Returns the shared parts of the prompt. */
  List<Suspect> parts() {
    if (prompt.isEmpty()) {
      return List.of();
    }
    List<Suspect> parts = new ArrayList<>();
    for (PromptPart part : prompt.get().sharedParts()) {
      parts.add(new Suspect(hash(prompt.get().model(), part.id()), part.id()));
    }
    return parts;
  }

  /** Returns the request itself. */
  Optional<Suspect> request() {
    return fingerprint.map(value -> new Suspect(hash(value), REQUEST_ID));
  }
}
