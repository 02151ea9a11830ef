package org.pollenrock.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/** Runs tasks of an event loop after its sockets were read once more. */
final class NextTurn {
  private NextTurn() {}

  /**
   * Runs an action in the next turn of the loop, or at the end of this one while input is handled.
   *
   * <p>A task without a delay could run in the turn that schedules it, if the clock has not
   * advanced.
   *
   * @param loop the event loop, on which this method is called
   * @param action the action
   */
  static void run(EventLoop loop, Runnable action) {
    loop.schedule(action, 1, TimeUnit.NANOSECONDS);
  }
}
