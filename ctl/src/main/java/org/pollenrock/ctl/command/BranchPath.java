package org.pollenrock.ctl.command;

import java.util.Optional;
import org.pollenrock.core.settings.CustomerSettings;
import org.pollenrock.core.settings.SettingsPath;
import org.pollenrock.core.settings.SettingsTree;

/**
 * A path of a branch that holds inherited values.
 *
 * @param customer its customer, when it is at or below one
 * @param caller its caller, when it is at or below one
 * @param kind its kind, when it is one
 */
record BranchPath(Optional<String> customer, Optional<String> caller, Optional<String> kind) {
  private static final int CUSTOMER_DEPTH = 2;
  private static final int CALLER_DEPTH = 4;

  /** Takes a path apart; empty when no values are inherited there. */
  static Optional<BranchPath> of(SettingsPath path) {
    if (path.equals(SettingsPath.of("root"))) {
      return Optional.of(new BranchPath(Optional.empty(), Optional.empty(), Optional.empty()));
    }
    boolean inCustomer = path.depth() >= CUSTOMER_DEPTH && path.segment(0).equals("customers");
    boolean inCaller =
        inCustomer
            && path.depth() >= CALLER_DEPTH
            && path.segment(CUSTOMER_DEPTH).equals("callers");
    int depth = inCaller ? CALLER_DEPTH : inCustomer ? CUSTOMER_DEPTH : 0;
    SettingsPath rest = path.skip(depth);
    boolean isKind = rest.depth() == 2 && rest.segment(0).equals("kinds");
    if (rest.depth() > 0 && !isKind || path.depth() == 0) {
      return Optional.empty();
    }
    return Optional.of(
        new BranchPath(
            inCustomer ? Optional.of(path.segment(1)) : Optional.empty(),
            inCaller ? Optional.of(path.segment(CALLER_DEPTH - 1)) : Optional.empty(),
            isKind ? Optional.of(rest.segment(1)) : Optional.empty()));
  }

  /** Tells whether the tree names the customer, the caller and the kind. */
  boolean existsIn(SettingsTree tree) {
    Optional<CustomerSettings> found = customer.flatMap(name -> tree.customers().find(name));
    boolean callerExists =
        caller.isEmpty()
            || found.filter(settings -> settings.callers().contains(caller.get())).isPresent();
    return (customer.isEmpty() || found.isPresent())
        && callerExists
        && (kind.isEmpty() || tree.kinds().contains(kind.get()));
  }
}
