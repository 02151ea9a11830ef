package org.pollenrock.router;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.pollenrock.adapters.http.HostPort;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.model.ServerRole;
import org.pollenrock.router.decision.ServerEntry;
import org.pollenrock.standin.engine.EngineSettings;
import org.pollenrock.standin.engine.EngineStandin;
import org.pollenrock.standin.service.PlainServiceStandin;

/** Guards the whole way of a request from the caller to a server and back. */
class RouterTest {
  private static EventLoopGroup group;
  private static EngineStandin engine;
  private static PlainServiceStandin ledger;
  private static Router router;
  private static HttpClient client;

  @BeforeAll
  static void start() {
    group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    engine =
        new EngineStandin(
            group,
            EngineSettings.of("engine-1", TestSettings.MODEL, TestSettings.VERSION),
            1,
            (model, version) -> java.util.concurrent.CompletableFuture.completedFuture(true),
            execution -> {});
    engine.start();
    ledger = new PlainServiceStandin(group, "ledger-1", Duration.ZERO);
    ledger.start();
    InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
    router =
        new Router(
            new RouterConfig(
                new InstanceId("router-1"),
                new Incarnation(1),
                new DataCentreId("dc-1"),
                any,
                any,
                RouterLimits.defaults(),
                new RouterConfig.Stop(Duration.ZERO, Duration.ofSeconds(5)),
                2));
    router.settings(new TestSettings(7, Duration.ofMinutes(1)));
    router.servers(
        List.of(
            entry("engine-1", ServerRole.MODEL_SERVER, "", engine.address()),
            entry("ledger-1", ServerRole.PLAIN_SERVER, "ledger", ledger.address())));
    router.start();
    client = HttpClient.newHttpClient();
  }

  private static ServerEntry entry(String id, ServerRole role, String service, String address) {
    return new ServerEntry(
        new BackendServerId(id),
        role,
        service,
        new DataCentreId("dc-1"),
        HostPort.parse(address),
        false);
  }

  @AfterAll
  static void stop() {
    client.close();
    router.stop();
    engine.stop();
    ledger.stop();
    group.shutdownGracefully();
  }

  private static HttpResponse<String> send(String method, String path, String body)
      throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + router.callerAddress().getPort() + path))
            .header("Authorization", "Bearer " + TestSettings.KEY)
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .timeout(Duration.ofSeconds(30))
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private static String chat(boolean stream) {
    return "{\"model\":\"model-a\",\"stream\":"
        + stream
        + ",\"max_tokens\":5,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
  }

  @Test
  void relaysStreamInOrderUpToItsEndMarker() throws Exception {
    HttpResponse<String> response = send("POST", "/v1/chat/completions", chat(true));
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.headers().firstValue("X-Pollenrock-Server")).contains("engine-1");
    assertThat(response.headers().firstValue("X-Pollenrock-Revision")).contains("7");
    assertThat(response.body().lines().filter(line -> line.startsWith("id: ")))
        .containsExactly("id: 0", "id: 1", "id: 2", "id: 3", "id: 4");
    assertThat(response.body()).endsWith("data: [DONE]\n\n");
  }

  @Test
  void relaysWholeAnswer() throws Exception {
    HttpResponse<String> response = send("POST", "/v1/chat/completions", chat(false));
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).contains("\"completion_tokens\":5");
  }

  @Test
  void runsNonIdempotentCallOnce() throws Exception {
    HttpResponse<String> response = send("POST", "/ledger/refunds", "{\"refund\":1}");
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo("{\"refund\":1}");
    assertThat(ledger.executions().stream().filter(run -> run.path().equals("/ledger/refunds")))
        .hasSize(1);
  }
}
