package org.pollenrock.router;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.settings.SettingsTree;

/** Guards a restart while the log is down, and changes that only one router can read. */
class PeerTest {
  private TestCluster cluster;
  private Router second;

  @BeforeEach
  void start() {
    cluster = new TestCluster(1, RouterTimes.defaults());
    String seed = "[\"127.0.0.1:" + cluster.router().peerAddress().getPort() + "\"]";
    second = cluster.newRouter("router-2", seed, RouterTimes.defaults());
  }

  @AfterEach
  void stop() {
    second.stop();
    cluster.close();
  }

  @Test
  void routerThatStartsWithoutTheLogTakesSettingsFromPeers() throws Exception {
    cluster.log().outage(true);
    second.start();
    cluster.listRouter("router-2", second);
    TestCluster.await(() -> second.revision() == cluster.router().revision());
    TestCluster.await(second::ready);
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + second.callerAddress().getPort() + "/v1/models"))
            .header("Authorization", "Bearer " + TestCluster.KEY)
            .build();
    assertThat(cluster.client().send(request, HttpResponse.BodyHandlers.ofString()).body())
        .contains("model-a");
  }

  @Test
  void bothRoutersReachTheSameRevision() {
    second.start();
    cluster.listRouter("router-2", second);
    long revision = cluster.publish(TestCluster.tree(), SettingsTree.EMPTY);
    TestCluster.await(() -> second.revision() == revision);
    TestCluster.await(() -> cluster.router().revision() == revision);
    assertThat(second.revision()).isEqualTo(cluster.router().revision());
  }

  /** The caller may run one request over both routers, so one of them has no share of its own. */
  @Test
  void routerWithoutAShareOfALimitBorrowsIt() {
    second.start();
    cluster.listRouter("router-1", cluster.router());
    cluster.listRouter("router-2", second);
    TestCluster.await(second::ready);
    TestCluster.await(() -> cluster.operator("/state").contains("\"routers\":2"));
    TestCluster.await(() -> completes(cluster.router()));
    TestCluster.await(() -> completes(second));
  }

  private boolean completes(Router router) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create(
                    "http://127.0.0.1:"
                        + router.callerAddress().getPort()
                        + "/v1/chat/completions"))
            .header("Authorization", "Bearer key-batch")
            .POST(HttpRequest.BodyPublishers.ofString(TestCluster.chat(true, 1)))
            .build();
    return cluster
        .client()
        .sendAsync(request, HttpResponse.BodyHandlers.ofString())
        .join()
        .body()
        .endsWith("data: [DONE]\n\n");
  }
}
