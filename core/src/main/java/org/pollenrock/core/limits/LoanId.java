package org.pollenrock.core.limits;

import java.util.Objects;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;

/**
 * Identity of a loan, drawn by its borrower.
 *
 * @param borrower router that asks
 * @param incarnation its incarnation
 * @param counter number within the incarnation
 */
public record LoanId(InstanceId borrower, Incarnation incarnation, long counter) {
  /** Checks that all parts are present. */
  public LoanId {
    Objects.requireNonNull(borrower, "borrower");
    Objects.requireNonNull(incarnation, "incarnation");
  }
}
