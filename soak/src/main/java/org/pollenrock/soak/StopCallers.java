package org.pollenrock.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Callers that go on using their connections to a gateway while it stops, until it is gone. A
 * request that ran must have got a response.
 */
final class StopCallers {
  private static final int CALLERS = 6;

  /** Time that the callers wait for a response; longer than the grace period. */
  private static final int READ_TIMEOUT_MILLIS = 2_000 * GatewayProcess.GRACE_SECONDS;

  private static final long RECONNECT_NANOS = 5_000_000;

  private static final List<String> PATHS = List.of("GET /plain", "POST /post", "POST /long");
  private static final Pattern LENGTH = Pattern.compile("(?i)content-length: (\\d+)");

  private final GatewayProcess gateway;
  private final SoakRecord record;
  private final String name;
  private final long seed;
  private final List<Thread> threads = new ArrayList<>();

  /** Creates callers of the present process of a gateway. */
  StopCallers(GatewayProcess gateway, SoakRecord record, long seed) {
    this.gateway = gateway;
    this.record = record;
    this.name = gateway.name();
    this.seed = seed;
  }

  /** Starts the callers. */
  void start() {
    for (int number = 0; number < CALLERS; number++) {
      String caller = name + "s" + number;
      SplittableRandom random = new SplittableRandom(seed ^ caller.hashCode());
      threads.add(Thread.ofPlatform().daemon().start(() -> run(caller, random)));
    }
  }

  /** Waits until all callers have seen that the gateway is gone. */
  void join() throws InterruptedException {
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private void run(String caller, SplittableRandom random) {
    int number = 0;
    while (gateway.isAlive()) {
      try (Socket socket = new Socket()) {
        InetSocketAddress address = gateway.callers();
        socket.connect(address, READ_TIMEOUT_MILLIS);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        // After the response that announces the close, one more request crosses it.
        for (boolean closing = false, crossed = false; !crossed; ) {
          crossed = closing;
          closing |= ask(socket, caller + "-" + ++number, random);
          TimeUnit.MILLISECONDS.sleep(closing ? 0 : random.nextInt(40));
        }
      } catch (IOException e) {
        // The gateway has closed the connection, or has not opened its port yet or any more.
        LockSupport.parkNanos(RECONNECT_NANOS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  /** Makes one request; returns whether its response announces the close of the connection. */
  private boolean ask(Socket socket, String attempt, SplittableRandom random) throws IOException {
    String request =
        PATHS.get(random.nextInt(PATHS.size()))
            + "/x HTTP/1.1\r\nHost: soak.example\r\nCredential: key\r\nAttempt-Id: "
            + attempt
            + "\r\nContent-Length: 0\r\n\r\n";
    socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
    String response;
    try {
      response = readResponse(socket.getInputStream());
    } catch (IOException e) {
      response = "";
    }
    if (response.isEmpty()) {
      if (record.hasRun(attempt)) {
        record.violation("stop", attempt + " ran at " + gateway.name() + " without a response");
      }
      throw new IOException("no response");
    }
    if (response.startsWith("HTTP/1.1 503") && record.hasRun(attempt)) {
      record.violation("stop", attempt + " was refused and ran");
    }
    return response.toLowerCase(Locale.ROOT).contains("connection: close");
  }

  /** Returns the head of a whole response; empty if the connection ended before. */
  private static String readResponse(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.append((char) next);
    }
    Matcher length = LENGTH.matcher(head);
    int bytes = length.find() ? Integer.parseInt(length.group(1)) : 0;
    return in.readNBytes(bytes).length == bytes ? head.toString() : "";
  }
}
