package org.pollenrock.gateway;

import java.util.HashMap;
import java.util.Map;
import org.pollenrock.core.dispatch.DispatchResult;
import org.pollenrock.core.dispatch.Dispatcher;
import org.pollenrock.core.dispatch.QueueEntry;

/** ExchangeFactory whose requests wait for a server. */
final class QueuedExchanges {
  private final Dispatcher dispatcher;
  private final Map<QueueEntry, Exchange> exchanges = new HashMap<>();

  QueuedExchanges(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
  }

  void enqueue(QueueEntry place, Exchange exchange) {
    exchanges.put(place, exchange);
  }

  void withdraw(QueueEntry place) {
    exchanges.remove(place);
    dispatcher.cancel(place);
  }

  /** Sends the requests of a service for which a server is free. */
  void release(String service) {
    for (DispatchResult.Released released :
        dispatcher.dispatchWaiting(service, System.nanoTime())) {
      exchanges.remove(released.entry()).sendFromQueue(released.choice());
    }
  }

  /** Sends what can be sent and refuses what waited too long. */
  void sweep() {
    dispatcher.servicesWithWaitingRequests().forEach(this::release);
    for (QueueEntry expired : dispatcher.removeExpired(System.nanoTime())) {
      exchanges.remove(expired).expireInQueue();
    }
  }
}
