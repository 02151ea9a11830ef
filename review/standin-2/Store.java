import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's store: topics that retain the newest record of each key. */
final class Store {
  private static final Map<String, String> JSON = Map.of("Content-Type", "application/json");

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, Integer> newest = new TreeMap<>();
  }

  private final Map<String, Topic> topics = new HashMap<>();
  private Listener listener;

  Store() throws IOException {
    listener = listen();
  }

  /** Goes on at another address; nothing answers at the one before. */
  void move() throws IOException {
    Listener before = listener;
    listener = listen();
    before.close();
  }

  private Listener listen() throws IOException {
    return new Listener((request, socket, out) -> handle(request, out));
  }

  String address() {
    return listener.address();
  }

  /** Writes a record as the operator or a server does; an empty value drops the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    ByteBuffer record = ByteBuffer.allocate(1 + name.length + bytes.length);
    append(topic, record.put((byte) name.length).put(name).put(bytes).array());
  }

  private synchronized int append(String name, byte[] record) {
    Topic topic = topic(name);
    int offset = topic.records.size();
    topic.records.add(record);
    String key = new String(record, 1, record[0] & 0xff, StandardCharsets.UTF_8);
    if (record.length == 1 + (record[0] & 0xff)) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, offset);
    }
    notifyAll();
    return offset;
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, added -> new Topic());
  }

  private boolean handle(Http.Request request, OutputStream out) throws Exception {
    String topic = request.parameter("topic", "");
    switch (request.path()) {
      case "/-/log-newest" -> Http.respond(out, 200, JSON, newest(topic, request));
      case "/-/log-read" ->
          Http.respond(out, 200, Map.of("Content-Type", "application/octet-stream"), read(request));
      case "/-/log-append" -> appendAll(topic, request, out);
      default -> Http.respond(out, 404, JSON, bytes("{}"));
    }
    return true;
  }

  private synchronized byte[] newest(String name, Http.Request request) {
    String after = URLDecoder.decode(request.parameter("after", ""), StandardCharsets.UTF_8);
    Topic topic = topic(name);
    StringBuilder items = new StringBuilder();
    topic
        .newest
        .tailMap(after, after.isEmpty())
        .forEach(
            (key, offset) -> {
              byte[] record = topic.records.get(offset);
              byte[] value = new byte[record.length - 1 - (record[0] & 0xff)];
              System.arraycopy(record, record.length - value.length, value, 0, value.length);
              items
                  .append(items.isEmpty() ? "" : ",")
                  .append("{\"key\":\"" + key + "\",\"value\":\"")
                  .append(Base64.getEncoder().encodeToString(value))
                  .append("\",\"offset\":" + offset + "}");
            });
    return bytes(
        "{\"items\":[" + items + "],\"more_pages\":false,\"end\":" + topic.records.size() + "}");
  }

  private synchronized byte[] read(Http.Request request) throws InterruptedException {
    Topic topic = topic(request.parameter("topic", ""));
    int from = Integer.parseInt(request.parameter("from", "0"));
    long until =
        System.currentTimeMillis() + Long.parseLong(request.parameter("wait_ms", "0"));
    while (topic.records.size() <= from && System.currentTimeMillis() < until) {
      wait(Math.max(1, until - System.currentTimeMillis()));
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
    for (int offset = from; offset < topic.records.size(); offset++) {
      byte[] record = topic.records.get(offset);
      body.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
      body.writeBytes(record);
    }
    return body.toByteArray();
  }

  private void appendAll(String name, Http.Request request, OutputStream out) throws IOException {
    int offset;
    int end;
    synchronized (this) {
      end = topic(name).records.size();
      String expected = request.parameter("as_of", "");
      if (!expected.isEmpty() && Integer.parseInt(expected) != end) {
        offset = -1;
      } else {
        offset = end;
        ByteBuffer body = ByteBuffer.wrap(request.body());
        while (body.hasRemaining()) {
          byte[] record = new byte[body.getInt()];
          body.get(record);
          append(name, record);
        }
        end = topic(name).records.size();
      }
    }
    Http.respond(
        out,
        offset < 0 ? 412 : 200,
        JSON,
        bytes((offset < 0 ? "{" : "{\"offset\":" + offset + ",") + "\"end\":" + end + "}"));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
