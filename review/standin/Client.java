import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Stand-in of a client with one kept connection. */
final class Client implements AutoCloseable {
  private final Record record;
  private final Socket socket = new Socket();
  private Map<String, String> furtherHeaders = Map.of();

  /** Opens a connection. */
  Client(Gateway gateway, Record record) throws IOException {
    this.record = record;
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(gateway.ip(), gateway.port()), 1_000);
  }

  /** Sets headers that each request has in addition. */
  void setFurtherHeaders(Map<String, String> headers) {
    furtherHeaders = headers;
  }

  /** Sends a request and reads its answer; null if the connection ended without one. */
  Http.Message call(
      String method, String host, String path, String attempt, long deadlineMillis, byte[] body)
      throws IOException {
    send(method, host, path, attempt, deadlineMillis, body);
    socket.setSoTimeout((int) deadlineMillis + 1_000);
    Http.Message answer;
    try {
      answer = Http.read(socket.getInputStream());
    } catch (IOException e) {
      record.line("no answer to %s: %s", attempt, e);
      return null;
    }
    if (answer == null) {
      record.line("no answer to %s: connection closed", attempt);
      return null;
    }
    record.line(
        "answered %s: %s, %d bytes, %s",
        attempt,
        answer.firstLine(),
        answer.body().length,
        answer.complete() ? "complete" : "not complete");
    return answer;
  }

  private void send(
      String method, String host, String path, String attempt, long deadlineMillis, byte[] body)
      throws IOException {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", host);
    headers.put("Attempt-Id", attempt);
    headers.put("Deadline-Ms", Long.toString(deadlineMillis));
    headers.put("Credential", Config.KEY);
    headers.putAll(furtherHeaders);
    record.line("sent %s: %s %s", attempt, method, path);
    socket.getOutputStream().write(Http.message(method + " " + path + " HTTP/1.1", headers, body));
  }

  static byte[] text(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
