package org.pollenrock.router.caller;

/** Whether the router is stopping, so that connections close after their current response. */
public final class DrainSwitch {
  private volatile boolean draining;

  /** Announces the stop to every connection. */
  public void turnOn() {
    draining = true;
  }

  /**
   * Whether the router is stopping.
   *
   * @return true once it was announced
   */
  public boolean draining() {
    return draining;
  }
}
