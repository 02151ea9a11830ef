package org.pollenrock.standin.service;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.pollenrock.standin.http.StandinExchange;
import org.pollenrock.standin.http.StandinHttpServer;
import org.pollenrock.standin.http.StandinRequest;

/**
 * Server of a plain service: every call takes a fixed time, is recorded, and echoes its body, or
 * its path when it has no body.
 */
public final class PlainServiceStandin {
  private final String name;
  private final EventLoop loop;
  private final Duration callTime;
  private final StandinHttpServer server;
  private final Queue<Execution> executions = new ConcurrentLinkedQueue<>();
  private int lostAnswers;
  private int foreignAnswers;
  private boolean leaving;

  /**
   * Makes a server; it listens once started.
   *
   * @param group event loops, owned by the caller
   * @param name name of the server
   * @param callTime time of a call
   */
  public PlainServiceStandin(EventLoopGroup group, String name, Duration callTime) {
    this.name = name;
    this.loop = group.next();
    this.callTime = callTime;
    this.server =
        new StandinHttpServer(
            group, (request, exchange) -> loop.execute(() -> handle(request, exchange)));
  }

  /** Begins to listen. */
  public void start() {
    server.start();
  }

  /** Stops listening and closes every connection. */
  public void stop() {
    server.stop();
  }

  /**
   * Address of the server.
   *
   * @return IP number and port
   */
  public String address() {
    return server.address();
  }

  /**
   * Calls that ran, in order.
   *
   * @return a copy
   */
  public List<Execution> executions() {
    return List.copyOf(executions);
  }

  /**
   * Makes the next calls run without an answer: the connection is closed instead.
   *
   * @param count number of calls
   */
  public void loseAnswers(int count) {
    loop.execute(() -> lostAnswers += count);
  }

  /**
   * Gives the next calls an answer that names another attempt.
   *
   * @param count number of calls
   */
  public void answerForOthers(int count) {
    loop.execute(() -> foreignAnswers += count);
  }

  /**
   * Begins or ends refusing new calls because the server is leaving.
   *
   * @param on true to begin
   */
  public void leaving(boolean on) {
    loop.execute(() -> leaving = on);
  }

  /** Drops the traffic of the connections that are open now. */
  public void silenceConnections() {
    server.silenceConnections();
  }

  private void handle(StandinRequest request, StandinExchange exchange) {
    if (request.path().equals("/server/report")) {
      String state = leaving ? "leaving" : "live";
      exchange.respondJson(200, "{\"incarnation\":1,\"state\":\"" + state + "\",\"models\":[]}");
      return;
    }
    if (leaving) {
      Map<String, String> state = Map.of("X-Server-State", "leaving");
      exchange.respond(503, state, "application/json", "{}".getBytes(StandardCharsets.UTF_8));
      return;
    }
    executions.add(
        new Execution(
            name,
            request.method(),
            request.path(),
            request.header("Idempotency-Key"),
            request.header("X-Attempt-Id"),
            request.text()));
    loop.schedule(() -> answer(request, exchange), callTime.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void answer(StandinRequest request, StandinExchange exchange) {
    if (lostAnswers > 0) {
      lostAnswers--;
      exchange.abort();
      return;
    }
    String attempt = request.header("X-Attempt-Id");
    if (foreignAnswers > 0) {
      foreignAnswers--;
      attempt = "other-1-1";
    }
    exchange.respond(
        200,
        Map.of("X-Attempt-Id", attempt, "X-Served-By", name),
        request.headers().get("Content-Type", "application/json"),
        request.body().length > 0
            ? request.body()
            : request.path().getBytes(StandardCharsets.UTF_8));
  }
}
