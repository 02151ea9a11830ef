package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against work that runs before the input that arrived while the event loop was blocked. */
class LoopMonitorTest {
  private static final long TIMEOUT_SECONDS = 30;

  /** Delay after which a loop certainly counts as late. */
  private static final long LATE_NANOS = 300_000_000L;

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final LoopMonitor monitor =
      new LoopMonitor(loop, new GatewayMetrics(), new EventLog(OutputStream.nullOutputStream()));

  @AfterEach
  void stopLoop() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void actionOfALateLoopRunsAfterTheTasksThatWait() throws Exception {
    List<String> order = new ArrayList<>();
    CountDownLatch done = new CountDownLatch(1);
    loop.execute(
        () -> {
          long startNanos = System.nanoTime();
          while (System.nanoTime() - startNanos < LATE_NANOS) {
            Thread.onSpinWait();
          }
          monitor.runAfterInput(
              () -> {
                order.add("action");
                done.countDown();
              });
          order.add("returned");
        });
    assertThat(done.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(order).containsExactly("returned", "action");
  }
}
