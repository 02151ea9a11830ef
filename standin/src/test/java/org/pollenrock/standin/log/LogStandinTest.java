package org.pollenrock.standin.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.standin.StandinClient;

/** Guards against a log stand-in that loses records or hides its faults. */
class LogStandinTest {
  private final StandinClient client = new StandinClient();
  private final AtomicLong clockMs = new AtomicLong(1_000_000);
  private EventLoopGroup group;
  private LogStandin log;

  @BeforeEach
  void start() {
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    log = new LogStandin(group, clockMs::get, Duration.ofMinutes(1), 2);
    log.start();
  }

  @AfterEach
  void stop() {
    log.stop();
    group.shutdownGracefully();
  }

  @Test
  void appendWithLostAnswerTakesEffect() {
    log.loseAcknowledgements(1);

    assertThatThrownBy(() -> append("a")).isInstanceOf(IOException.class);
    assertThat(log.records("s")).hasSize(1);
  }

  @Test
  void appendsOverTheRateAreRefused() throws Exception {
    append("a");
    append("b");

    assertThat(append("c").statusCode()).isEqualTo(429);
    clockMs.addAndGet(1_000);
    assertThat(append("d").body()).contains("\"offset\":2");
  }

  @Test
  void readBelowRetentionNamesTheFirstRecord() throws Exception {
    append("a");
    clockMs.addAndGet(120_000);
    append("b");

    HttpResponse<String> read = client.get(url() + "?from=0");

    assertThat(read.statusCode()).isEqualTo(410);
    assertThat(read.body()).contains("\"first\":1");
  }

  @Test
  void outageRefusesEverything() throws Exception {
    log.outage(true);

    assertThat(append("a").statusCode()).isEqualTo(503);
    assertThat(log.records("s")).isEmpty();
  }

  private HttpResponse<String> append(String data) throws IOException, InterruptedException {
    return client.post(url(), data, Map.of());
  }

  private String url() {
    return "http://" + log.address() + "/streams/s/records";
  }
}
