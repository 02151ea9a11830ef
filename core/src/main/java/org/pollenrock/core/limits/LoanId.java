package org.pollenrock.core.limits;

import java.util.Objects;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Unique id of a loan, assigned by the borrower.
 *
 * @param borrower router that requests the loan
 * @param incarnation incarnation of the borrower
 * @param counter number of the loan within the incarnation
 */
public record LoanId(InstanceId borrower, Incarnation incarnation, long counter) {
  /** Checks that no component is null. */
  public LoanId {
    Objects.requireNonNull(borrower, "borrower");
    Objects.requireNonNull(incarnation, "incarnation");
  }
}
