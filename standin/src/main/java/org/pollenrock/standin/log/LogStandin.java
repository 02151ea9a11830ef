package org.pollenrock.standin.log;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.pollenrock.standin.http.StandinExchange;
import org.pollenrock.standin.http.StandinHttpServer;
import org.pollenrock.standin.http.StandinRequest;

/**
 * Log service with streams, offsets, long polls, a rate limit on appends, retention and faults.
 *
 * <p>State is confined to one event loop.
 */
public final class LogStandin {
  private static final String PREFIX = "/streams/";
  private static final String SUFFIX = "/records";
  private static final int DEFAULT_BATCH = 1000;

  private final EventLoop loop;
  private final LongSupplier clockMs;
  private final Duration retention;
  private final int appendsPerSecond;
  private final StandinHttpServer server;
  private final Map<String, LogStream> streams = new HashMap<>();
  private final Map<String, List<Poll>> polls = new HashMap<>();
  private final ObjectMapper json = new ObjectMapper();
  private double appendTokens;
  private long refilledMs;
  private boolean outage;
  private int lostAcknowledgements;
  private long appends;

  /**
   * Makes a log service; it listens once started.
   *
   * @param group event loops, owned by the caller
   * @param clockMs the log's clock, in milliseconds
   * @param retention how long records are kept
   * @param appendsPerSecond rate limit over all streams
   */
  public LogStandin(
      EventLoopGroup group, LongSupplier clockMs, Duration retention, int appendsPerSecond) {
    this.loop = group.next();
    this.clockMs = clockMs;
    this.retention = retention;
    this.appendsPerSecond = appendsPerSecond;
    this.appendTokens = appendsPerSecond;
    this.refilledMs = clockMs.getAsLong();
    this.server =
        new StandinHttpServer(
            group, (request, exchange) -> loop.execute(() -> handle(request, exchange)));
  }

  /** Begins to listen. */
  public void start() {
    server.start();
  }

  /** Stops listening; the records are kept. */
  public void stop() {
    server.stop();
  }

  /**
   * Address of the service.
   *
   * @return IP number and port
   */
  public String address() {
    return server.address();
  }

  /**
   * Begins or ends an outage, in which every request is answered with 503.
   *
   * @param on true to begin
   */
  public void outage(boolean on) {
    loop.execute(() -> outage = on);
  }

  /**
   * Makes the next appends take effect without an answer.
   *
   * @param count number of appends
   */
  public void loseAcknowledgements(int count) {
    loop.execute(() -> lostAcknowledgements += count);
  }

  /** Drops the traffic of the connections that are open now. */
  public void silenceConnections() {
    server.silenceConnections();
  }

  /**
   * Appends a record without HTTP.
   *
   * @param stream the stream
   * @param data the record
   * @return its offset
   */
  public long append(String stream, byte[] data) {
    return loop.submit(() -> store(stream, data)).syncUninterruptibly().getNow();
  }

  /**
   * Copies a stream.
   *
   * @param stream the stream
   * @return the records that are kept
   */
  public List<StoredRecord> records(String stream) {
    return loop.submit(() -> stream(stream).read(0, Integer.MAX_VALUE))
        .syncUninterruptibly()
        .getNow();
  }

  /**
   * Number of appends that took effect.
   *
   * @return the count since the start
   */
  public long appends() {
    return loop.submit(() -> appends).syncUninterruptibly().getNow();
  }

  private void handle(StandinRequest request, StandinExchange exchange) {
    String path = request.path();
    if (!path.startsWith(PREFIX) || !path.endsWith(SUFFIX)) {
      exchange.respondJson(404, "{}");
      return;
    }
    if (outage) {
      exchange.respondJson(503, "{}");
      return;
    }
    String name = path.substring(PREFIX.length(), path.length() - SUFFIX.length());
    if (request.method().equals("POST")) {
      acceptAppend(name, request, exchange);
      return;
    }
    Poll poll =
        new Poll(
            name, request.number("from", 0), (int) request.number("max", DEFAULT_BATCH), exchange);
    answerOrWait(poll, request.number("wait_ms", 0));
  }

  private void acceptAppend(String name, StandinRequest request, StandinExchange exchange) {
    if (!takeAppendToken()) {
      exchange.respondJson(429, "{}");
      return;
    }
    long offset = store(name, request.body());
    if (lostAcknowledgements > 0) {
      lostAcknowledgements--;
      exchange.abort();
      return;
    }
    ObjectNode answer = json.createObjectNode();
    answer.put("offset", offset);
    answer.put("time_ms", clockMs.getAsLong());
    exchange.respondJson(200, answer.toString());
  }

  private boolean takeAppendToken() {
    long now = clockMs.getAsLong();
    double refill = (now - refilledMs) * appendsPerSecond / 1000.0;
    appendTokens = Math.min(appendsPerSecond, appendTokens + refill);
    refilledMs = now;
    if (appendTokens < 1) {
      return false;
    }
    appendTokens--;
    return true;
  }

  private long store(String name, byte[] data) {
    long now = clockMs.getAsLong();
    LogStream stream = stream(name);
    long offset = stream.append(data, now);
    appends++;
    stream.dropBefore(now - retention.toMillis());
    List<Poll> waiting = polls.remove(name);
    if (waiting != null) {
      waiting.forEach(this::answer);
    }
    return offset;
  }

  private void answerOrWait(Poll poll, long waitMs) {
    LogStream stream = stream(poll.stream);
    stream.dropBefore(clockMs.getAsLong() - retention.toMillis());
    if (poll.from < stream.next() || waitMs <= 0) {
      answer(poll);
      return;
    }
    polls.computeIfAbsent(poll.stream, name -> new ArrayList<>()).add(poll);
    loop.schedule(() -> expire(poll), waitMs, TimeUnit.MILLISECONDS);
  }

  private void expire(Poll poll) {
    List<Poll> waiting = polls.get(poll.stream);
    if (waiting != null && waiting.remove(poll)) {
      answer(poll);
    }
  }

  private void answer(Poll poll) {
    LogStream stream = stream(poll.stream);
    ObjectNode answer = json.createObjectNode();
    answer.put("first", stream.first());
    answer.put("head", stream.next());
    answer.put("head_time_ms", clockMs.getAsLong());
    if (poll.from < stream.first()) {
      poll.exchange.respondJson(410, answer.toString());
      return;
    }
    ArrayNode list = answer.putArray("records");
    for (StoredRecord stored : stream.read(poll.from, poll.most)) {
      ObjectNode entry = list.addObject();
      entry.put("offset", stored.offset());
      entry.put("time_ms", stored.timeMs());
      entry.put("data", Base64.getEncoder().encodeToString(stored.data()));
    }
    poll.exchange.respondJson(200, answer.toString());
  }

  private LogStream stream(String name) {
    return streams.computeIfAbsent(name, key -> new LogStream());
  }

  /** A read that may wait for its first record; compared by identity. */
  private static final class Poll {
    private final String stream;
    private final long from;
    private final int most;
    private final StandinExchange exchange;

    private Poll(String stream, long from, int most, StandinExchange exchange) {
      this.stream = stream;
      this.from = from;
      this.most = most;
      this.exchange = exchange;
    }
  }
}
