package org.pollenrock.core.limits;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.RequestKind;

/**
 * Requests that a set of limits counts together.
 *
 * @param customer the customer
 * @param caller one of its callers; empty for all
 * @param kind one kind of request; empty for all
 */
public record LimitScope(
    CustomerId customer, Optional<CallerId> caller, Optional<RequestKind> kind) {
  /** Checks that all parts are present. */
  public LimitScope {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(caller, "caller");
    Objects.requireNonNull(kind, "kind");
  }

  /**
   * All requests of a customer.
   *
   * @param customer the customer
   * @return the scope
   */
  public static LimitScope of(CustomerId customer) {
    return new LimitScope(customer, Optional.empty(), Optional.empty());
  }

  /**
   * All requests of one caller.
   *
   * @param customer the customer
   * @param caller the caller
   * @return the scope
   */
  public static LimitScope of(CustomerId customer, CallerId caller) {
    return new LimitScope(customer, Optional.of(caller), Optional.empty());
  }

  /**
   * All requests of one kind of a customer.
   *
   * @param customer the customer
   * @param kind the kind
   * @return the scope
   */
  public static LimitScope of(CustomerId customer, RequestKind kind) {
    return new LimitScope(customer, Optional.empty(), Optional.of(kind));
  }
}
