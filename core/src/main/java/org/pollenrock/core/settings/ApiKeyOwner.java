package org.pollenrock.core.settings;

import java.util.Objects;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;

/**
 * Whom an API key identifies.
 *
 * @param customer the customer
 * @param caller the caller of that customer
 */
public record ApiKeyOwner(CustomerId customer, CallerId caller) {
  /** Checks that both parts are present. */
  public ApiKeyOwner {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(caller, "caller");
  }
}
