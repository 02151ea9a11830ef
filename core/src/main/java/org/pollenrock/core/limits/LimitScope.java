package org.pollenrock.core.limits;

import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.RequestKind;

/**
 * Set of requests that share a set of limits.
 *
 * @param customer the customer
 * @param caller one caller of the customer; empty for all callers
 * @param kind one kind of request; empty for all kinds
 */
public record LimitScope(
    CustomerId customer, Optional<CallerId> caller, Optional<RequestKind> kind) {
  /** Checks that no component is null. */
  public LimitScope {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(caller, "caller");
    Objects.requireNonNull(kind, "kind");
  }

  /**
   * Returns the scope of all requests of a customer.
   *
   * @param customer the customer
   * @return the scope
   */
  public static LimitScope of(CustomerId customer) {
    return new LimitScope(customer, Optional.empty(), Optional.empty());
  }

  /**
   * Returns the scope of all requests of one caller of a customer.
   *
   * @param customer the customer
   * @param caller the caller
   * @return the scope
   */
  public static LimitScope of(CustomerId customer, CallerId caller) {
    return new LimitScope(customer, Optional.of(caller), Optional.empty());
  }

  /**
   * Returns the scope of all requests of one kind of a customer.
   *
   * @param customer the customer
   * @param kind the kind of request
   * @return the scope
   */
  public static LimitScope of(CustomerId customer, RequestKind kind) {
    return new LimitScope(customer, Optional.empty(), Optional.of(kind));
  }
}
