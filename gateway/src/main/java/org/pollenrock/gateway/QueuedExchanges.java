package org.pollenrock.gateway;

import java.util.HashMap;
import java.util.Map;
import org.pollenrock.core.dispatch.Dispatch;
import org.pollenrock.core.dispatch.Dispatcher;
import org.pollenrock.core.dispatch.QueueEntry;

/** Exchanges whose requests wait for a server. */
final class QueuedExchanges {
  private final Dispatcher dispatcher;
  private final Map<QueueEntry, Exchange> exchanges = new HashMap<>();

  QueuedExchanges(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
  }

  void enter(QueueEntry place, Exchange exchange) {
    exchanges.put(place, exchange);
  }

  void leave(QueueEntry place) {
    exchanges.remove(place);
    dispatcher.withdraw(place);
  }

  /** Sends the requests of a service for which a server is free. */
  void release(String service) {
    for (Dispatch.Released released : dispatcher.release(service, System.nanoTime())) {
      exchanges.remove(released.waiting()).released(released.choice());
    }
  }

  /** Sends what can be sent and refuses what waited too long. */
  void sweep() {
    dispatcher.waitingServices().forEach(this::release);
    for (QueueEntry expired : dispatcher.expire(System.nanoTime())) {
      exchanges.remove(expired).waitedTooLong();
    }
  }
}
