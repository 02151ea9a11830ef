package org.pollenrock.gateway;

import java.util.HashMap;
import java.util.Map;
import org.pollenrock.core.dispatch.Dispatch;
import org.pollenrock.core.dispatch.Dispatcher;
import org.pollenrock.core.dispatch.Waiting;

/** Exchanges whose requests wait for a server. */
final class WaitingRoom {
  private final Dispatcher dispatcher;
  private final Map<Waiting, Exchange> exchanges = new HashMap<>();

  WaitingRoom(Dispatcher dispatcher) {
    this.dispatcher = dispatcher;
  }

  void enter(Waiting place, Exchange exchange) {
    exchanges.put(place, exchange);
  }

  void leave(Waiting place) {
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
    for (Waiting expired : dispatcher.expire(System.nanoTime())) {
      exchanges.remove(expired).waitedTooLong();
    }
  }
}
