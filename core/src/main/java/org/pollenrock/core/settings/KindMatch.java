package org.pollenrock.core.settings;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Conditions under which a request without the header {@code X-Request-Kind} is of a kind.
 *
 * <p>All conditions that are present must hold. A match without any condition holds for no request,
 * so that its kind is chosen by the header alone.
 *
 * @param models names of models, any of which the request asks for; empty means no condition
 * @param services names of plain services, any of which the request calls; empty means no condition
 * @param maxTokensAtMost greatest {@code max_tokens} of a model request, when it is a condition
 */
public record KindMatch(List<String> models, List<String> services, OptionalLong maxTokensAtMost) {
  /** A match that holds for no request. */
  public static final KindMatch NEVER = new KindMatch(List.of(), List.of(), OptionalLong.empty());

  /** Copies the lists. */
  public KindMatch {
    models = List.copyOf(models);
    services = List.copyOf(services);
    Objects.requireNonNull(maxTokensAtMost, "maxTokensAtMost");
  }

  /**
   * Number of conditions; the match with more of them goes first.
   *
   * @return 0 to 3
   */
  public int conditions() {
    return (models.isEmpty() ? 0 : 1)
        + (services.isEmpty() ? 0 : 1)
        + (maxTokensAtMost.isPresent() ? 1 : 0);
  }

  /**
   * Tells whether a request meets the conditions.
   *
   * @param request what is known of the request
   * @return true when there is a condition and all hold
   */
  public boolean matches(RequestTraits request) {
    return conditions() > 0
        && (models.isEmpty() || request.model().filter(models::contains).isPresent())
        && (services.isEmpty() || request.service().filter(services::contains).isPresent())
        && (maxTokensAtMost.isEmpty() || withinTokens(request));
  }

  private boolean withinTokens(RequestTraits request) {
    return request.maxTokens().isPresent()
        && request.maxTokens().getAsLong() <= maxTokensAtMost.getAsLong();
  }
}
