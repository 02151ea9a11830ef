package org.pollenrock.gateway;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.response.HeadCheck;

/** Guards against calls that take what waits in the socket of an idle connection as a response. */
class ControlClientTest {
  private static final long TIMEOUT_SECONDS = 10;

  /** Time in which bytes written to a local socket arrive. */
  private static final long ARRIVAL_NANOS = 50_000_000;

  private record OpenGate() implements ServerGate {
    @Override
    public boolean tryEnter(Backend server) {
      return true;
    }

    @Override
    public boolean permitsSend(Backend server) {
      return true;
    }

    @Override
    public void recordResponse(Backend server, int status, HttpHeaders headers) {}
  }

  private final MultiThreadIoEventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final ControlClient client =
      new ControlClient(
          loop,
          new OpenGate(),
          new HeadCheck(List.of()),
          new BodyMemory(Long.MAX_VALUE),
          new EventLog(OutputStream.nullOutputStream()));

  /** Connections in the order accepted. */
  private final List<Socket> connections = new CopyOnWriteArrayList<>();

  private final CountDownLatch slowResponse = new CountDownLatch(1);
  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    for (Socket connection : connections) {
      connection.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  @Test
  void idleConnectionIsUsedAgain() throws Exception {
    assertThat(call("/one").get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("/one");
    assertThat(call("/two").get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("/two");
    assertThat(connections).hasSize(1);
  }

  @Test
  void responseThatWaitsInTheSocketIsNotThatToTheNextCall() throws Exception {
    call("/one").get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    CompletableFuture<String> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          write(connections.getFirst(), "stray");
          LockSupport.parkNanos(ARRIVAL_NANOS);
          call("/two", result::complete);
        });
    assertThat(result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("/two");
    assertThat(connections).hasSize(2);
  }

  /** The next call is made while the loop handles input, of which it then reads no more. */
  @Test
  void responseThatArrivesWhileInputIsHandledIsNotThatToTheNextCall() throws Exception {
    CompletableFuture<String> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          call(
              "/slow",
              slow -> {
                connections.forEach(connection -> write(connection, "stray"));
                LockSupport.parkNanos(ARRIVAL_NANOS);
                call("/two", result::complete);
              });
          call("/one", one -> loop.schedule(slowResponse::countDown, 50, TimeUnit.MILLISECONDS));
        });
    assertThat(result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("/two");
  }

  @Test
  void callIsMadeOnAnotherConnectionIfTheIdleOneIsClosed() throws Exception {
    call("/one").get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    CompletableFuture<String> result = new CompletableFuture<>();
    loop.execute(
        () -> {
          close(connections.getFirst());
          LockSupport.parkNanos(ARRIVAL_NANOS);
          call("/two", result::complete);
        });
    assertThat(result.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isEqualTo("/two");
  }

  private CompletableFuture<String> call(String target) {
    CompletableFuture<String> result = new CompletableFuture<>();
    loop.execute(() -> call(target, result::complete));
    return result;
  }

  private void call(String target, Consumer<String> result) {
    client.call(
        new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
        new ControlClient.Call(HttpMethod.GET, target, Map.of(), new byte[0], 5_000),
        outcome ->
            result.accept(
                outcome instanceof CallResult.Answered answered
                    ? new String(answered.body(), US_ASCII)
                    : outcome.toString()));
  }

  private void accept() {
    try {
      while (true) {
        Socket connection = server.accept();
        connections.add(connection);
        Thread.ofVirtual().start(() -> respond(connection));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  /** Responds to each request with its target. */
  private void respond(Socket connection) {
    try {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(connection.getInputStream(), US_ASCII));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith("GET ")) {
          String target = line.split(" ")[1];
          if (target.equals("/slow")) {
            slowResponse.await();
          }
          write(connection, target);
        }
      }
    } catch (IOException | UncheckedIOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void write(Socket connection, String body) {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n";
    try {
      connection.getOutputStream().write((head + body).getBytes(US_ASCII));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void close(Socket connection) {
    try {
      connection.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
