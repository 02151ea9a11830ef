package org.pollenrock.gateway;

import java.util.HashMap;
import java.util.Map;
import org.pollenrock.core.dispatch.DispatchResult;
import org.pollenrock.core.dispatch.Dispatcher;
import org.pollenrock.core.dispatch.QueueEntry;
import org.pollenrock.core.route.ActiveConfig;
import org.pollenrock.core.route.RoutingConfig;

/** Exchanges whose requests wait in the queue of the dispatcher for a server. */
final class QueuedExchanges {
  private final Dispatcher dispatcher;
  private final ActiveConfig configs;
  private final Map<QueueEntry, Exchange> exchanges = new HashMap<>();

  QueuedExchanges(Dispatcher dispatcher, ActiveConfig configs) {
    this.dispatcher = dispatcher;
    this.configs = configs;
  }

  /** Adds an exchange whose request the dispatcher has queued. */
  void enqueue(QueueEntry entry, Exchange exchange) {
    exchanges.put(entry, exchange);
  }

  /** Removes a request from the queue before it was sent. */
  void withdraw(QueueEntry entry) {
    exchanges.remove(entry);
    dispatcher.cancel(entry, System.nanoTime());
  }

  /**
   * Sends the waiting requests of a service that a server can take now. Refuses quarantined ones,
   * those for which all servers are at their rates or want a pause, those that may outlast this
   * instance, and all if the service has no server any more.
   */
  void dispatchWaiting(String service) {
    long now = System.nanoTime();
    for (QueueEntry quarantined : dispatcher.removeQuarantined(service, now)) {
      exchanges.remove(quarantined).refuseFromQueue(DispatchResult.Cause.QUARANTINED);
    }
    for (QueueEntry tooLate : dispatcher.removeTooLate(service, now)) {
      exchanges.remove(tooLate).refuseFromQueue(DispatchResult.Cause.STOPPING);
    }
    for (QueueEntry unserved : dispatcher.removeUnserved(service, now)) {
      exchanges.remove(unserved).refuseFromQueue(DispatchResult.Cause.NO_SERVER);
    }
    for (QueueEntry unpermitted : dispatcher.removeUnpermitted(service, now)) {
      exchanges
          .remove(unpermitted)
          .refuseFromQueue(dispatcher.unpermittedCause(unpermitted.request(), now));
    }
    for (DispatchResult.Released released : dispatcher.dispatchWaiting(service, now)) {
      exchanges.remove(released.entry()).sendFromQueue(released.choice());
    }
  }

  /**
   * Sends all waiting requests that a server can take, and refuses those that waited too long or
   * would.
   */
  void sweep() {
    dispatcher
        .queues()
        .setRationed(configs.current().filter(RoutingConfig::limitsCustomers).isPresent());
    dispatcher.servicesWithWaitingRequests().forEach(this::dispatchWaiting);
    long now = System.nanoTime();
    for (QueueEntry expired : dispatcher.removeExpired(now)) {
      exchanges.remove(expired).refuseFromQueue(DispatchResult.Cause.WAITED);
    }
    for (QueueEntry hopeless : dispatcher.queues().removeHopeless(now)) {
      exchanges.remove(hopeless).refuseFromQueue(DispatchResult.Cause.WAIT_TOO_LONG);
    }
  }
}
