package org.pollenrock.router.filter;

import java.util.List;
import org.pollenrock.core.error.Step;

/**
 * The filters in their order.
 *
 * @param filters one filter for each step, in the order of {@link Step}
 */
public record FilterChain(List<Filter> filters) {
  /**
   * Checks the order.
   *
   * @throws IllegalArgumentException when a step is missing or out of order
   */
  public FilterChain {
    filters = List.copyOf(filters);
    List<Step> steps = filters.stream().map(Filter::step).toList();
    if (!steps.equals(List.of(Step.values()))) {
      throw new IllegalArgumentException("steps out of order: " + steps);
    }
  }

  Filter at(Step step) {
    return filters.get(step.ordinal());
  }
}
