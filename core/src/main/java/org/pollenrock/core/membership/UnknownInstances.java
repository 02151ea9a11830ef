package org.pollenrock.core.membership;

/** What an instance assumes as long as it may not know all other instances. */
public final class UnknownInstances {
  /** Number of instances that are assumed to share the limits of servers; more than run. */
  public static final int ASSUMED_COUNT = 400;

  private UnknownInstances() {}
}
