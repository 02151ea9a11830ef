package org.pollenrock.standin.list;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.pollenrock.standin.http.StandinExchange;
import org.pollenrock.standin.http.StandinHttpServer;
import org.pollenrock.standin.http.StandinRequest;

/** Instance list that shows changes only after a lag. */
public final class InstanceListStandin {
  private final EventLoop loop;
  private final Duration lag;
  private final StandinHttpServer server;
  private final ObjectMapper json = new ObjectMapper();
  private List<ListedInstance> shown = List.of();
  private long version;
  private boolean outage;

  /**
   * Makes an empty list; it listens once started.
   *
   * @param group event loops, owned by the caller
   * @param lag time from a change to its being shown
   */
  public InstanceListStandin(EventLoopGroup group, Duration lag) {
    this.loop = group.next();
    this.lag = lag;
    this.server =
        new StandinHttpServer(
            group, (request, exchange) -> loop.execute(() -> handle(request, exchange)));
  }

  /** Begins to listen. */
  public void start() {
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }

  /**
   * Address of the list.
   *
   * @return IP number and port
   */
  public String address() {
    return server.address();
  }

  /**
   * Replaces the list at once.
   *
   * @param instances the entries
   */
  public void showNow(List<ListedInstance> instances) {
    List<ListedInstance> copy = List.copyOf(instances);
    loop.submit(() -> replace(copy)).syncUninterruptibly();
  }

  /**
   * Replaces the list after its lag.
   *
   * @param instances the entries
   */
  public void show(List<ListedInstance> instances) {
    List<ListedInstance> copy = List.copyOf(instances);
    loop.schedule(() -> replace(copy), lag.toMillis(), TimeUnit.MILLISECONDS);
  }

  /**
   * Copies what is shown.
   *
   * @return the entries
   */
  public List<ListedInstance> shown() {
    return loop.submit(() -> (List<ListedInstance>) new ArrayList<>(shown))
        .syncUninterruptibly()
        .getNow();
  }

  /**
   * Begins or ends an outage, in which every request is answered with 503.
   *
   * @param on true to begin
   */
  public void outage(boolean on) {
    loop.execute(() -> outage = on);
  }

  /** Drops the traffic of the connections that are open now. */
  public void silenceConnections() {
    server.silenceConnections();
  }

  private void replace(List<ListedInstance> instances) {
    shown = instances;
    version++;
  }

  private void handle(StandinRequest request, StandinExchange exchange) {
    if (!request.path().equals("/instances")) {
      exchange.respondJson(404, "{}");
      return;
    }
    if (outage) {
      exchange.respondJson(503, "{}");
      return;
    }
    ObjectNode answer = json.createObjectNode();
    answer.put("version", version);
    ArrayNode entries = answer.putArray("instances");
    for (ListedInstance instance : shown) {
      entries
          .addObject()
          .put("id", instance.id())
          .put("kind", instance.kind())
          .put("service", instance.service())
          .put("address", instance.address())
          .put("data_centre", instance.dataCentre())
          .put("state", instance.state());
    }
    exchange.respondJson(200, answer.toString());
  }
}
