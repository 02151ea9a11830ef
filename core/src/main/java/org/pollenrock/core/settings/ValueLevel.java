package org.pollenrock.core.settings;

/** Levels from which a value is inherited; a later one takes precedence over an earlier one. */
public enum ValueLevel {
  /** No branch sets the value. */
  DEFAULT,
  /** The root. */
  ROOT,
  /** The kind, for all customers. */
  ROOT_KIND,
  /** The customer. */
  CUSTOMER,
  /** The kind, for the customer. */
  CUSTOMER_KIND,
  /** The caller. */
  CALLER,
  /** The kind, for the caller. */
  CALLER_KIND
}
