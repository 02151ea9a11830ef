package org.pollenrock.core.store;

import java.util.OptionalLong;

/**
 * The newest era of the store that this instance has seen.
 *
 * <p>A store that comes back from an older copy gives offsets out again, and raises its era. An
 * offset therefore means nothing without the era in which it was read.
 */
public final class StoreEra {
  /** How the era of a response compares with the newest one. */
  public enum Comparison {
    /** The response belongs to the newest era, or the store names none. */
    CURRENT,
    /** The store has come back from an older copy since the last response. */
    RISEN,
    /** The response is a late one of an era that is over. */
    OUTDATED
  }

  private OptionalLong newest = OptionalLong.empty();

  /** Creates an era that is not known yet. */
  public StoreEra() {}

  /**
   * Records the era of a response.
   *
   * @param era the era; empty if the response names none
   * @return how it compares with the newest one
   */
  public Comparison record(OptionalLong era) {
    if (era.isEmpty()) {
      return Comparison.CURRENT;
    }
    if (newest.isEmpty()) {
      newest = era;
      return Comparison.CURRENT;
    }
    int order = Long.compare(era.getAsLong(), newest.getAsLong());
    if (order > 0) {
      newest = era;
      return Comparison.RISEN;
    }
    return order == 0 ? Comparison.CURRENT : Comparison.OUTDATED;
  }

  /**
   * Returns the newest era.
   *
   * @return the era; empty until a response has named one
   */
  public OptionalLong newest() {
    return newest;
  }
}
