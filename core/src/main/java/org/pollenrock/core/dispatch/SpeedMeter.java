package org.pollenrock.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.speed.UsualTime;

/**
 * Measures how fast servers work, from complete and successful responses alone: refusals and errors
 * are no measure of speed.
 *
 * <p>An engine is measured by the time until its response starts, for each token of its backlog; a
 * plain server by the whole time, less that in its queue. Servers are compared with the others of
 * their service: those of other data centres among each other, since the network adds to their
 * times, and engines by similar backlogs, since a part of the time does not grow with them.
 */
public final class SpeedMeter {
  /**
   * Responses that are compared with each other.
   *
   * @param service name of the service
   * @param local whether the server is in the data centre of this instance
   * @param backlogBits length of the backlog as a binary number; 0 for plain servers
   */
  private record Group(String service, boolean local, int backlogBits) {}

  private final String dataCentre;
  private final Map<Group, UsualTime> usualTimes = new HashMap<>();

  /**
   * Creates a meter without measurements.
   *
   * @param dataCentre data centre of this instance
   */
  SpeedMeter(String dataCentre) {
    this.dataCentre = dataCentre;
  }

  /**
   * Records a complete response of an engine.
   *
   * @param choice the choice of the engine
   * @param startNanos time from sending the request to the start of its response
   * @param nowNanos current time
   */
  public void recordPrompt(Selection.Chosen choice, long startNanos, long nowNanos) {
    if (!choice.deferred() && ReadingSpeed.isMeasurable(choice.backlogTokens())) {
      int backlogBits = Long.SIZE - Long.numberOfLeadingZeros(choice.backlogTokens());
      record(choice.backend(), backlogBits, choice.backlogTokens(), startNanos, nowNanos);
    }
  }

  /**
   * Records a complete response of a plain server.
   *
   * @param server the server
   * @param load number of requests at the server when the request was sent, including it
   * @param elapsedNanos time from sending the request to the end of its response
   * @param nowNanos current time
   */
  public void recordPlain(Backend server, double load, long elapsedNanos, long nowNanos) {
    int slots = ServerCosts.slots(server);
    // Time in the queue of a full server says nothing of its speed.
    record(server, 0, Math.max(1, load / slots), elapsedNanos, nowNanos);
    server.speed().recordParallel(load, slots, elapsedNanos, nowNanos);
  }

  private void record(
      Backend server, int backlogBits, double amount, long elapsedNanos, long nowNanos) {
    boolean local = server.entry().dataCentre().equals(dataCentre);
    Group group = new Group(server.entry().service(), local, backlogBits);
    usualTimes
        .computeIfAbsent(group, key -> new UsualTime())
        .record(amount, elapsedNanos)
        .ifPresent(ratio -> server.speed().record(ratio, nowNanos));
  }
}
