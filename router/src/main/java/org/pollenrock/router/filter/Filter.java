package org.pollenrock.router.filter;

import org.pollenrock.core.error.Step;

/** One step of the way of a request; stateless, so that one object serves all requests. */
public interface Filter {
  /**
   * The step that this filter performs.
   *
   * @return the step
   */
  Step step();

  /**
   * Performs the step on the exchange's event loop; ends with {@link Exchange#proceed} or {@link
   * Exchange#fail}, now or later.
   *
   * @param exchange the request
   */
  void apply(Exchange exchange);
}
