package org.pollenrock.ctl.log;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import java.util.UUID;
import org.pollenrock.core.settings.ChangeOutcome;
import org.pollenrock.core.settings.SettingsChange;
import org.pollenrock.core.settings.SettingsCodec;

/**
 * Appends a change and reads back what became of it.
 *
 * <p>A lost response is resolved by reading. The record is appended again with the same id when it
 * does not appear; a second copy has no second effect.
 */
public final class Publisher {
  private static final int MAX_APPENDS = 3;
  private static final Duration PAUSE = Duration.ofMillis(250);

  private final LogClient client;
  private final SettingsLog log;
  private final Duration patience;

  /**
   * Creates a publisher.
   *
   * @param client the log
   * @param log the settings stream, read to its head
   * @param patience how long to wait after each append for its record to appear
   */
  public Publisher(LogClient client, SettingsLog log, Duration patience) {
    this.client = Objects.requireNonNull(client, "client");
    this.log = Objects.requireNonNull(log, "log");
    this.patience = Objects.requireNonNull(patience, "patience");
  }

  /**
   * Publishes a change.
   *
   * @param change the change
   * @return what became of it, or empty when it may still take effect
   * @throws LogException when it certainly was not appended
   * @throws InterruptedException when the thread is interrupted
   */
  public Optional<ChangeOutcome> publish(SettingsChange change)
      throws LogException, InterruptedException {
    byte[] data = SettingsCodec.encode(change);
    boolean possiblyAppended = false;
    LogException last = null;
    for (int i = 0; i < MAX_APPENDS; i++) {
      try {
        client.append(data);
        possiblyAppended = true;
      } catch (LogException e) {
        possiblyAppended |= e.possiblyEffective();
        last = e;
      }
      Optional<ChangeOutcome> outcome =
          possiblyAppended ? awaitOutcome(change.id()) : Optional.empty();
      if (outcome.isPresent()) {
        return outcome;
      }
      Thread.sleep(PAUSE);
    }
    if (!possiblyAppended && last != null) {
      throw last;
    }
    return Optional.empty();
  }

  private Optional<ChangeOutcome> awaitOutcome(UUID id) throws InterruptedException {
    long deadline = System.nanoTime() + patience.toNanos();
    Optional<ChangeOutcome> outcome = log.history().outcomeOf(id);
    while (outcome.isEmpty()) {
      Duration left = Duration.ofNanos(deadline - System.nanoTime());
      if (left.isNegative()) {
        return outcome;
      }
      try {
        log.readNext(left);
      } catch (LogException e) {
        // The log may be back before the patience ends.
        Thread.sleep(PAUSE);
      }
      outcome = log.history().outcomeOf(id);
    }
    return outcome;
  }
}
