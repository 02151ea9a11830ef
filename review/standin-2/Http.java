import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
  private static final int MAX_LINE_BYTES = 65_536;

  private Http() {}

  /** Request with its whole body. Header names are compared without regard to case. */
  record Request(String method, String target, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String path() {
      int query = target.indexOf('?');
      return query < 0 ? target : target.substring(0, query);
    }

    String parameter(String name, String otherwise) {
      int query = target.indexOf('?');
      if (query >= 0) {
        for (String pair : target.substring(query + 1).split("&")) {
          if (pair.startsWith(name + "=")) {
            return pair.substring(name.length() + 1);
          }
        }
      }
      return otherwise;
    }
  }

  /**
   * Response.
   *
   * @param complete whether its body arrived to the end that its framing names
   */
  record Response(int status, Map<String, String> headers, byte[] body, boolean complete) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Reads a request; null at the end of the connection. */
  static Request readRequest(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    String[] words = line.split(" ");
    Map<String, String> headers = readHeaders(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (!readBody(in, headers, body, false)) {
      return null;
    }
    return new Request(words[0], words[1], headers, body.toByteArray());
  }

  /** Reads a response; null if the connection ends before its head has arrived. */
  static Response readResponse(InputStream in) {
    try {
      String line = readLine(in);
      if (line == null) {
        return null;
      }
      int status = Integer.parseInt(line.split(" ")[1]);
      Map<String, String> headers = readHeaders(in);
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      boolean complete;
      try {
        complete = readBody(in, headers, body, true);
      } catch (IOException e) {
        complete = false;
      }
      return new Response(status, headers, body.toByteArray(), complete);
    } catch (IOException e) {
      return null;
    }
  }

  /** Writes a response with a length. */
  static void respond(OutputStream out, int status, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("Content-Length: " + body.length + "\r\n\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(body);
    out.write(bytes.toByteArray());
    out.flush();
  }

  /** Writes a request with a length. */
  static void request(
      OutputStream out, String method, String target, Map<String, String> headers, byte[] body)
      throws IOException {
    StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("Content-Length: " + body.length + "\r\n\r\n");
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    bytes.writeBytes(body);
    out.write(bytes.toByteArray());
    out.flush();
  }

  private static boolean readBody(
      InputStream in, Map<String, String> headers, ByteArrayOutputStream body, boolean toEnd)
      throws IOException {
    if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
      while (true) {
        String size = readLine(in);
        if (size == null) {
          return false;
        }
        int length = Integer.parseInt(size.trim(), 16);
        if (length == 0) {
          return readLine(in) != null;
        }
        if (!copy(in, length, body) || readLine(in) == null) {
          return false;
        }
      }
    }
    String length = headers.get("Content-Length");
    if (length != null) {
      return copy(in, Integer.parseInt(length.trim()), body);
    }
    if (toEnd) {
      in.transferTo(body);
    }
    return true;
  }

  private static boolean copy(InputStream in, int length, ByteArrayOutputStream body)
      throws IOException {
    byte[] bytes = in.readNBytes(length);
    body.writeBytes(bytes);
    return bytes.length == length;
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new EOFException("end inside a head");
      }
      if (line.isEmpty()) {
        return headers;
      }
      int colon = line.indexOf(':');
      headers.putIfAbsent(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
    }
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (line.size() < MAX_LINE_BYTES) {
      int next = in.read();
      if (next < 0) {
        return null;
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
    throw new IOException("line too long");
  }
}
