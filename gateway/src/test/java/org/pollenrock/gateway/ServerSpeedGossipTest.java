package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.dispatch.PrefixDirectory;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.dispatch.SelectorSettings;
import org.pollenrock.core.dispatch.ServerSelector;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.protocol.generated.FleetNews;
import org.pollenrock.protocol.generated.ServerSpeed;

/** Guards against measured speeds that are lost between instances, or sent where none differs. */
class ServerSpeedGossipTest {
  private static final long SECOND = 1_000_000_000L;

  private final Fleet fleet = new Fleet();
  private final ServerSpeedTask task =
      new ServerSpeedTask(
          new ServerSelector(
                  SelectorSettings.defaults("dc"),
                  new PrefixDirectory(),
                  new PrefixStoreView(),
                  customer -> "shared")
              .speedMeter(),
          fleet,
          new EventLog(OutputStream.nullOutputStream()));
  private Backend server;
  private long now;

  @BeforeEach
  void addServer() {
    now = System.nanoTime();
    fleet.applyEntry(
        new ListedBackend("server", 7, "v1", "ledger", "10.0.0.1", 8000, "dc", 6, true, Map.of()),
        now);
    server = fleet.all().iterator().next();
  }

  private FleetNews news() {
    now += 2 * SECOND;
    FleetNews.Builder message = FleetNews.newBuilder();
    task.addNews(message, now);
    return message.build();
  }

  private ServerSpeed.Builder slow() {
    return ServerSpeed.newBuilder()
        .setServer(server.idHash())
        .setStartMs(7)
        .setPercent(200)
        .setResponses(20);
  }

  private double factorAfter(ServerSpeed.Builder speed) {
    task.apply(FleetNews.newBuilder().addSpeeds(speed).build(), new InstanceId("peer"), now);
    return server.speed().factor();
  }

  @Test
  void nothingIsSentOfServersThatAreAlike() {
    for (int i = 0; i < 50; i++) {
      server.speed().record(1, now);
    }
    assertThat(news().getSpeedsCount()).isZero();
  }

  @Test
  void slowServerIsAnnouncedOnceASecondAndBelieved() {
    for (int i = 0; i < 50; i++) {
      server.speed().record(2, now);
    }
    FleetNews message = news();
    assertThat(message.getSpeedsList()).hasSize(1);
    assertThat(message.getSpeeds(0).getPercent()).isEqualTo(200);
    FleetNews.Builder next = FleetNews.newBuilder();
    task.addNews(next, now + SECOND / 2);
    assertThat(next.getSpeedsCount()).isZero();
  }

  @Test
  void reportOfAnotherInstanceCounts() {
    assertThat(factorAfter(slow())).isEqualTo(2);
  }

  @Test
  void reportOfAnEarlierIncarnationOrOutOfRangeIsIgnored() {
    assertThat(factorAfter(slow().setStartMs(6))).isEqualTo(1);
    assertThat(factorAfter(slow().setPercent(0))).isEqualTo(1);
    assertThat(factorAfter(slow().setPercent(1_001))).isEqualTo(1);
    assertThat(factorAfter(slow().setResponses(-1))).isEqualTo(1);
  }
}
