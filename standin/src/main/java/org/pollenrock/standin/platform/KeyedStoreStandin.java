package org.pollenrock.standin.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.pollenrock.standin.http.StandinExchange;
import org.pollenrock.standin.http.StandinHttpServer;
import org.pollenrock.standin.http.StandinRequest;

/**
 * Store of topics that keep the newest record of each key, with long polls and conditional appends.
 *
 * <p>It can be down, forget its history, lose the answers of appends that it carried out, and come
 * back from an older copy.
 */
public final class KeyedStoreStandin {
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int CONDITION_FAILED = 412;
  private static final int UNAVAILABLE = 503;
  private static final int NOT_FOUND = 404;

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final Map<String, Newest> newest = new LinkedHashMap<>();
    private final List<Runnable> polls = new ArrayList<>();
    private long first;

    private long end() {
      return first + records.size();
    }

    private Topic copy() {
      Topic copy = new Topic();
      copy.replaceWith(this);
      return copy;
    }

    private void replaceWith(Topic other) {
      records.clear();
      records.addAll(other.records);
      newest.clear();
      newest.putAll(other.newest);
      first = other.first;
    }
  }

  private record Newest(byte[] value, long offset) {}

  /** Copy of all topics at some time. */
  public static final class Copy {
    private final Map<String, Topic> topics = new HashMap<>();
  }

  private final ObjectMapper mapper = new ObjectMapper();
  private final EventLoopGroup group;
  private final StandinHttpServer server;
  private final Map<String, Topic> topics = new HashMap<>();
  private final List<Runnable> heldAnswers = new ArrayList<>();
  private final List<StandinRequest> heldCalls = new ArrayList<>();
  private final List<Runnable> heldPolls = new ArrayList<>();
  private String heldTopic = "";
  private boolean down;
  private boolean hanging;
  private int lostAnswers;
  private long calls;
  private long era = 1;

  /**
   * Makes a store; it listens once started.
   *
   * @param group event loops, owned by the caller
   */
  public KeyedStoreStandin(EventLoopGroup group) {
    this.group = group;
    this.server = new StandinHttpServer(group, this::handle);
  }

  /** Begins to listen on loopback. */
  public void start() {
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }

  /**
   * Address of the store.
   *
   * @return IP number and port
   */
  public String address() {
    return server.address();
  }

  /** Drops all traffic of the connections that are open now, without closing them. */
  public void silenceConnections() {
    server.silenceConnections();
  }

  /** Closes the connections that are open now. */
  public void closeConnections() {
    server.closeConnections();
  }

  /**
   * Makes the store refuse every call, or serve again.
   *
   * @param refuse whether to refuse
   */
  public synchronized void down(boolean refuse) {
    down = refuse;
  }

  /**
   * Makes the store hold all answers, or give those that it holds and serve again.
   *
   * @param hang whether to hold them
   */
  public synchronized void hang(boolean hang) {
    hanging = hang;
    if (!hang) {
      List<Runnable> answers = List.copyOf(heldAnswers);
      heldAnswers.clear();
      heldCalls.clear();
      answers.forEach(Runnable::run);
    }
  }

  /**
   * Reads that arrived while the store holds all answers.
   *
   * @param topic the topic
   * @return the number
   */
  public synchronized long heldReads(String topic) {
    return heldCalls.stream()
        .filter(request -> request.path().equals("/-/log-read"))
        .filter(request -> request.query().getOrDefault("topic", List.of()).contains(topic))
        .count();
  }

  /**
   * Makes polls that wait for records of a topic go unanswered, as those on silent connections;
   * reads that don't wait are answered.
   *
   * @param topic the topic
   */
  public synchronized void holdPolls(String topic) {
    heldTopic = topic;
  }

  /** Answers the polls that {@link #holdPolls} has held, and all that follow. */
  public synchronized void releasePolls() {
    heldTopic = "";
    List<Runnable> polls = List.copyOf(heldPolls);
    heldPolls.clear();
    polls.forEach(Runnable::run);
  }

  /**
   * Loses the answers of the next appends, which are carried out.
   *
   * @param count how many
   */
  public synchronized void loseAnswers(int count) {
    lostAnswers = count;
  }

  /**
   * Writes a record, as the operator or a server does.
   *
   * @param topic the topic
   * @param key the key
   * @param value the value; empty to drop the key
   */
  public synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + bytes.length);
    record.put((byte) name.length).put(name).put(bytes);
    append(topic(topic), record.array());
  }

  /**
   * Forgets the history of a topic but for the newest record of each key.
   *
   * @param topic the topic
   */
  public synchronized void compact(String topic) {
    Topic forgotten = topic(topic);
    forgotten.first = forgotten.end();
    forgotten.records.clear();
  }

  /**
   * Copies all topics, to come back from the copy later.
   *
   * @return the copy
   */
  public synchronized Copy copy() {
    Copy copy = new Copy();
    topics.forEach((name, topic) -> copy.topics.put(name, topic.copy()));
    return copy;
  }

  /**
   * Comes back from an older copy: what was written since is lost, and its offsets are given out
   * again. Polls that wait go on waiting.
   *
   * @param copy the copy
   */
  public synchronized void restore(Copy copy) {
    era++;
    topics.forEach((name, topic) -> topic.replaceWith(copy.topics.getOrDefault(name, new Topic())));
  }

  /**
   * Newest value of a key.
   *
   * @param topic the topic
   * @param key the key
   * @return the value, or null
   */
  public synchronized String newest(String topic, String key) {
    Newest found = topic(topic).newest.get(key);
    return found == null ? null : new String(found.value(), StandardCharsets.UTF_8);
  }

  /**
   * Whether a poll has come to wait for a record since the last one was written.
   *
   * @param topic the topic
   * @return whether a poll came
   */
  public synchronized boolean isPolled(String topic) {
    return !topic(topic).polls.isEmpty();
  }

  /**
   * Calls that arrived.
   *
   * @return the number
   */
  public synchronized long calls() {
    return calls;
  }

  private synchronized void handle(StandinRequest request, StandinExchange exchange) {
    calls++;
    answer(request, exchange);
  }

  private void answer(StandinRequest request, StandinExchange exchange) {
    if (hanging) {
      heldCalls.add(request);
      heldAnswers.add(() -> answer(request, exchange));
      return;
    }
    if (down) {
      respondJson(exchange, UNAVAILABLE, "{}");
      return;
    }
    Topic topic = topic(request.query().getOrDefault("topic", List.of("")).getFirst());
    switch (request.path()) {
      case "/-/log-newest" -> newest(topic, exchange);
      case "/-/log-read" -> read(topic, request, exchange);
      case "/-/log-append" -> append(topic, request, exchange);
      default -> respondJson(exchange, NOT_FOUND, "{}");
    }
  }

  private void newest(Topic topic, StandinExchange exchange) {
    ObjectNode json = mapper.createObjectNode();
    ArrayNode items = json.putArray("items");
    topic.newest.forEach(
        (key, newest) ->
            items
                .addObject()
                .put("key", key)
                .put("value", Base64.getEncoder().encodeToString(newest.value()))
                .put("offset", newest.offset()));
    json.put("more_pages", false);
    json.put("end", topic.end());
    respondJson(exchange, OK, json.toString());
  }

  private void read(Topic topic, StandinRequest request, StandinExchange exchange) {
    long from = request.number("from", 0);
    if (from < topic.first || from > topic.end()) {
      respondJson(exchange, GONE, "{\"first\":" + topic.first + "}");
      return;
    }
    long waitMillis = request.number("wait_ms", 0);
    if (waitMillis > 0 && isHeld(topic)) {
      heldPolls.add(() -> read(topic, request, exchange));
      return;
    }
    if (from < topic.end()) {
      respond(topic, from, exchange);
      return;
    }
    boolean[] answered = new boolean[1];
    Runnable answer =
        () -> {
          synchronized (this) {
            if (waitMillis > 0 && isHeld(topic)) {
              heldPolls.add(() -> respondOnce(answered, topic, from, exchange));
            } else if (hanging) {
              heldAnswers.add(() -> respondOnce(answered, topic, from, exchange));
            } else {
              respondOnce(answered, topic, from, exchange);
            }
          }
        };
    topic.polls.add(answer);
    group.schedule(answer, waitMillis, TimeUnit.MILLISECONDS);
  }

  private boolean isHeld(Topic topic) {
    return !heldTopic.isEmpty() && topic == topic(heldTopic);
  }

  private void respondOnce(boolean[] answered, Topic topic, long from, StandinExchange exchange) {
    if (!answered[0]) {
      answered[0] = true;
      answerPoll(topic, from, exchange);
    }
  }

  private void answerPoll(Topic topic, long from, StandinExchange exchange) {
    if (from < topic.first || from > topic.end()) {
      respondJson(exchange, GONE, "{\"first\":" + topic.first + "}");
    } else {
      respond(topic, from, exchange);
    }
  }

  private void respond(Topic topic, long from, StandinExchange exchange) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(ByteBuffer.allocate(16).putLong(topic.end()).putLong(topic.first).array());
    for (long offset = from; offset < topic.end(); offset++) {
      byte[] record = topic.records.get((int) (offset - topic.first));
      out.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
      out.writeBytes(record);
    }
    respond(exchange, OK, "application/octet-stream", out.toByteArray());
  }

  private void append(Topic topic, StandinRequest request, StandinExchange exchange) {
    if (request.number("as_of", topic.end()) != topic.end()) {
      respondJson(exchange, CONDITION_FAILED, "{\"end\":" + topic.end() + "}");
      return;
    }
    long offset = topic.end();
    ByteBuffer body = ByteBuffer.wrap(request.body());
    while (body.hasRemaining()) {
      byte[] record = new byte[body.getInt()];
      body.get(record);
      append(topic, record);
    }
    if (lostAnswers > 0) {
      lostAnswers--;
      exchange.abort();
      return;
    }
    respondJson(exchange, OK, "{\"offset\":" + offset + ",\"end\":" + topic.end() + "}");
  }

  private void append(Topic topic, byte[] record) {
    int keyLength = Byte.toUnsignedInt(record[0]);
    String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
    byte[] value = new byte[record.length - 1 - keyLength];
    System.arraycopy(record, 1 + keyLength, value, 0, value.length);
    if (value.length == 0) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, new Newest(value, topic.end()));
    }
    topic.records.add(record);
    List<Runnable> polls = List.copyOf(topic.polls);
    topic.polls.clear();
    polls.forEach(Runnable::run);
  }

  private void respondJson(StandinExchange exchange, int status, String json) {
    respond(exchange, status, "application/json", json.getBytes(StandardCharsets.UTF_8));
  }

  private void respond(StandinExchange exchange, int status, String contentType, byte[] body) {
    exchange.respond(status, Map.of("Store-Era", Long.toString(era)), contentType, body);
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, added -> new Topic());
  }
}
