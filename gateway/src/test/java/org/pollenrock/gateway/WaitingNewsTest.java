package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.dispatch.DispatchRequest;
import org.pollenrock.core.dispatch.Dispatcher;
import org.pollenrock.core.dispatch.PrefixDirectory;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.dispatch.RetryAllowanceSettings;
import org.pollenrock.core.dispatch.SelectorSettings;
import org.pollenrock.core.dispatch.ServerSelector;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.weights.WeightsTargets;
import org.pollenrock.protocol.generated.FleetNews;

/** Guards against news while nothing waits, and against instances that don't know of each other. */
class WaitingNewsTest {
  private static final long MILLI = 1_000_000;

  private final Dispatcher sender = dispatcher();
  private final Dispatcher receiver = dispatcher();
  private final InstanceId senderId = new InstanceId("sender");

  private static Dispatcher dispatcher() {
    EventLog log = new EventLog(OutputStream.nullOutputStream());
    Fleet fleet = new Fleet();
    fleet.applyEntry(
        new ListedBackend("a", 1, "v1", "ledger", "10.0.0.1", 8000, "dc", 2, true, Map.of()), 0);
    return new Dispatcher(
        fleet,
        new ServerSelector(
            SelectorSettings.defaults("dc"),
            new PrefixDirectory(),
            new PrefixStoreView(),
            customer -> "shared"),
        new WeightsTargets(0),
        new QuarantineTask(log).quarantine(),
        new RateLimitTask(new InstanceId("own"), fleet, new NoServerProtocol(), log).limits(),
        new RetryAllowanceSettings(0.2, 10, 10_000 * MILLI),
        0);
  }

  private static DispatchRequest request(int number) {
    return new DispatchRequest(
        "r" + number,
        "ledger",
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.of("customer"),
        3,
        true,
        600,
        0,
        60_000 * MILLI);
  }

  private FleetNews announce(long nowNanos) {
    FleetNews.Builder message = FleetNews.newBuilder();
    new WaitingNews(sender.queues()).addNews(message, nowNanos);
    new WaitingNews(receiver.queues()).apply(message.build(), senderId, nowNanos);
    return message.build();
  }

  @Test
  void waitingWorkIsAnnouncedOnlyWhileItWaits() {
    receiver.submit(request(0), 0);
    assertThat(announce(0).getWaitingList()).isEmpty();
    for (int i = 0; i < 7; i++) {
      sender.submit(request(i), 0);
    }
    for (int i = 1; i <= 5; i++) {
      sender.recordCompletion(request(i), i * 100 * MILLI);
    }
    assertThat(announce(500 * MILLI).getWaitingList())
        .singleElement()
        .satisfies(
            waiting -> {
              assertThat(waiting.getService()).isEqualTo("ledger");
              assertThat(waiting.getUrgency()).isEqualTo(3);
              assertThat(waiting.getWork()).isEqualTo(sender.waitingRequests());
              assertThat(waiting.getWorkPerSecond()).isEqualTo(10);
            });
    assertThat(receiver.queues().waitingPeers(500 * MILLI)).isEqualTo(1);
    assertThat(receiver.queues().waitingPeers(1_600 * MILLI)).isZero();
  }
}
