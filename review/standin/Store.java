import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Stand-in of the platform's store: a log with keyed topics, long polls and conditional appends. */
final class Store {
  private record Newest(byte[] value, long offset) {}

  private static final class Topic {
    private final List<byte[]> records = new ArrayList<>();
    private final Map<String, Newest> newest = new LinkedHashMap<>();
  }

  private final ServerSocket socket;
  private final Map<String, Topic> topics = new HashMap<>();

  Store() throws IOException {
    socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Writes a record as the operator or a server does; an empty value drops the key. */
  synchronized void put(String topic, String key, String value) {
    byte[] name = key.getBytes(StandardCharsets.UTF_8);
    byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
    byte[] record =
        ByteBuffer.allocate(1 + name.length + bytes.length)
            .put((byte) name.length)
            .put(name)
            .put(bytes)
            .array();
    append(topic(topic), record);
  }

  private void append(Topic topic, byte[] record) {
    int keyLength = Byte.toUnsignedInt(record[0]);
    String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
    byte[] value = new byte[record.length - 1 - keyLength];
    System.arraycopy(record, 1 + keyLength, value, 0, value.length);
    if (value.length == 0) {
      topic.newest.remove(key);
    } else {
      topic.newest.put(key, new Newest(value, topic.records.size()));
    }
    topic.records.add(record);
    notifyAll();
  }

  private void accept() throws IOException {
    while (true) {
      Socket caller = socket.accept();
      Threads.start(() -> serve(caller));
    }
  }

  private void serve(Socket caller) throws IOException, InterruptedException {
    try (caller) {
      caller.setTcpNoDelay(true);
      OutputStream out = caller.getOutputStream();
      while (true) {
        Http.Message request = Http.read(caller.getInputStream());
        if (request == null) {
          return;
        }
        out.write(answer(request));
      }
    }
  }

  private byte[] answer(Http.Message request) throws InterruptedException {
    String topic = request.parameter("topic");
    return switch (request.path()) {
      case "/-/log-newest" -> json(200, newest(topic));
      case "/-/log-read" -> read(topic, request);
      case "/-/log-append" -> append(topic, request);
      default -> json(404, "{}");
    };
  }

  private synchronized String newest(String name) {
    Topic topic = topic(name);
    StringBuilder items = new StringBuilder();
    topic.newest.forEach(
        (key, value) ->
            items
                .append(items.isEmpty() ? "" : ",")
                .append("{\"key\":\"" + key + "\",\"value\":\"")
                .append(Base64.getEncoder().encodeToString(value.value()))
                .append("\",\"offset\":" + value.offset() + "}"));
    return "{\"items\":[" + items + "],\"more_pages\":false,\"end\":" + topic.records.size() + "}";
  }

  private synchronized byte[] read(String name, Http.Message request)
      throws InterruptedException {
    Topic topic = topic(name);
    int from = Integer.parseInt(request.parameter("from"));
    String wait = request.parameter("wait_ms");
    long until = System.nanoTime() + (wait.isEmpty() ? 0 : Long.parseLong(wait)) * 1_000_000;
    while (topic.records.size() <= from) {
      long left = (until - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        break;
      }
      wait(left);
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    body.writeBytes(ByteBuffer.allocate(16).putLong(topic.records.size()).putLong(0).array());
    for (int i = from; i < topic.records.size(); i++) {
      body.writeBytes(ByteBuffer.allocate(4).putInt(topic.records.get(i).length).array());
      body.writeBytes(topic.records.get(i));
    }
    return Http.message("HTTP/1.1 200 OK", Map.of(), body.toByteArray());
  }

  private synchronized byte[] append(String name, Http.Message request) {
    Topic topic = topic(name);
    int offset = topic.records.size();
    String condition = request.parameter("as_of");
    if (!condition.isEmpty() && Integer.parseInt(condition) != offset) {
      return json(412, "{\"end\":" + offset + "}");
    }
    ByteBuffer body = ByteBuffer.wrap(request.body());
    while (body.hasRemaining()) {
      byte[] record = new byte[body.getInt()];
      body.get(record);
      append(topic, record);
    }
    return json(200, "{\"offset\":" + offset + ",\"end\":" + topic.records.size() + "}");
  }

  private Topic topic(String name) {
    return topics.computeIfAbsent(name, added -> new Topic());
  }

  private static byte[] json(int status, String body) {
    return Http.message(
        "HTTP/1.1 " + status + " S",
        Map.of("Content-Type", "application/json"),
        body.getBytes(StandardCharsets.UTF_8));
  }
}
