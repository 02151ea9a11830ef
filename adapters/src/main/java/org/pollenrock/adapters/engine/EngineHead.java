package org.pollenrock.adapters.engine;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Status and identity headers of an engine's answer, known before its first body byte.
 *
 * @param status HTTP status
 * @param attemptId attempt that the answer belongs to, empty when the header is absent
 * @param incarnation incarnation that answers
 * @param weights weights version that answers
 * @param cachedTokens prompt tokens that were found in the prefix cache, 0 when not reported
 * @param promptTokens prompt tokens in all, 0 when not reported
 * @param queueTokens tokens waiting on the engine, 0 when not reported
 * @param leaving whether the engine reports that it is leaving
 * @param contentType media type of the body, empty when absent
 */
public record EngineHead(
    int status,
    String attemptId,
    Optional<Incarnation> incarnation,
    Optional<WeightsVersion> weights,
    long cachedTokens,
    long promptTokens,
    long queueTokens,
    boolean leaving,
    String contentType) {

  static EngineHead of(int status, HttpHeaders headers) {
    String weights = headers.get("X-Weights-Version", "");
    return new EngineHead(
        status,
        headers.get("X-Attempt-Id", ""),
        number(headers, "X-Incarnation").map(Incarnation::new),
        weights.isBlank() ? Optional.empty() : Optional.of(new WeightsVersion(weights)),
        number(headers, "X-Cached-Tokens").orElse(0L),
        number(headers, "X-Prompt-Tokens").orElse(0L),
        number(headers, "X-Queue-Tokens").orElse(0L),
        "leaving".equalsIgnoreCase(headers.get("X-Server-State", "")),
        headers.get("Content-Type", ""));
  }

  private static Optional<Long> number(HttpHeaders headers, String name) {
    String text = headers.get(name);
    if (text == null) {
      return Optional.empty();
    }
    try {
      return Optional.of(Long.parseLong(text.trim()));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
