package org.pollenrock.router.settings;

import java.util.Objects;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;

/**
 * Who sent a request.
 *
 * @param customer the customer
 * @param caller the caller within the customer
 */
public record CallerIdentity(CustomerId customer, CallerId caller) {
  /** Checks that both parts are present. */
  public CallerIdentity {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(caller, "caller");
  }
}
