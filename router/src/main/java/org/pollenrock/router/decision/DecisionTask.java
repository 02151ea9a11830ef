package org.pollenrock.router.decision;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The thread that owns all decision state.
 *
 * <p>Messages run one after the other. Questions are refused when the mailbox is full; notices are
 * always accepted, because a lost one would leave a slot or a share occupied for ever, and their
 * number is bounded by the questions that were accepted.
 */
public final class DecisionTask {
  private static final Logger LOG = LogManager.getLogger(DecisionTask.class);
  private static final long STOP_TIMEOUT_MILLIS = 5_000;

  private final LinkedBlockingQueue<Runnable> mailbox = new LinkedBlockingQueue<>();
  private final int bound;
  private final long tickNanos;
  private final Runnable tick;
  private final Thread thread;
  private volatile boolean stopping;

  /**
   * Creates the task.
   *
   * @param name name of the thread
   * @param bound most messages that wait before questions are refused
   * @param tickNanos time between two ticks, in nanoseconds
   * @param tick runs on the thread at every tick
   */
  public DecisionTask(String name, int bound, long tickNanos, Runnable tick) {
    this.bound = bound;
    this.tickNanos = tickNanos;
    this.tick = tick;
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Stops the thread after the message that it is running. */
  public void stop() {
    stopping = true;
    thread.interrupt();
    try {
      thread.join(STOP_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Posts a question, whose sender waits for the answer.
   *
   * @param question runs on the thread and sends the answer
   * @return false when the mailbox is full
   */
  public boolean ask(Runnable question) {
    return mailbox.size() < bound && mailbox.offer(question);
  }

  /**
   * Posts a notice.
   *
   * @param notice runs on the thread
   */
  public void tell(Runnable notice) {
    mailbox.add(notice);
  }

  /**
   * Messages that wait.
   *
   * @return the number
   */
  public int waiting() {
    return mailbox.size();
  }

  private void run() {
    long nextTick = System.nanoTime();
    while (!stopping) {
      try {
        long now = System.nanoTime();
        if (now - nextTick >= 0) {
          nextTick = now + tickNanos;
          runSafely(tick);
        }
        Runnable message = mailbox.poll(nextTick - now, TimeUnit.NANOSECONDS);
        if (message != null) {
          runSafely(message);
        }
      } catch (InterruptedException e) {
        stopping = true;
      }
    }
  }

  private static void runSafely(Runnable message) {
    try {
      message.run();
    } catch (RuntimeException e) {
      LOG.error("a decision failed", e);
    }
  }
}
