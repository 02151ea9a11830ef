package org.pollenrock.standin.service;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.standin.StandinClient;

/** Guards against answers to calls without a body that cannot be told apart when swapped. */
class PlainServiceStandinTest {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final PlainServiceStandin server =
      new PlainServiceStandin(group, "ledger-1", Duration.ZERO);

  @AfterEach
  void stop() {
    server.stop();
    group.shutdownGracefully();
  }

  @Test
  void answersCallWithoutBodyWithItsPath() throws Exception {
    server.start();

    String body = new StandinClient().get("http://" + server.address() + "/accounts/7").body();

    assertThat(body).isEqualTo("/accounts/7");
    assertThat(server.executions()).extracting(Execution::path).containsExactly("/accounts/7");
  }
}
