package org.pollenrock.router.caller;

/** How far a planned stop of the router has come, for all connections. */
public final class DrainSwitch {
  private volatile boolean draining;
  private volatile boolean refusing;

  /** Announces the stop: each connection closes after its next response. */
  public void turnOn() {
    draining = true;
  }

  /** Makes every connection refuse the requests that it has not begun to serve. */
  public void refuse() {
    draining = true;
    refusing = true;
  }

  /**
   * Whether requests are refused, because they might not end before the router does.
   *
   * @return true once the router serves no further requests
   */
  public boolean refusing() {
    return refusing;
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
