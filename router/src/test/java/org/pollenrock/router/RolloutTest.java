package org.pollenrock.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.settings.SettingsTree;

/** Guards requests during a change of weights: a server that loads drops what it runs. */
class RolloutTest {
  private TestCluster cluster;

  @BeforeEach
  void start() {
    cluster = new TestCluster(3, RouterTimes.defaults());
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @Test
  void newWeightsReachEveryEngineWhileAllStreamsComplete() throws Exception {
    SettingsTree before = TestCluster.tree();
    cluster.publish(before, TestCluster.tree("v2"));
    int streams = 0;
    while (cluster.engines().stream().anyMatch(engine -> !engine.version().equals("v2"))) {
      HttpResponse<String> response =
          cluster.send("POST", "/v1/chat/completions", TestCluster.chat(true, 10));
      assertThat(response.body()).endsWith("data: [DONE]\n\n");
      streams++;
    }
    assertThat(streams).isPositive();
  }
}
