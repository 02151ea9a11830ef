import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on blocking streams. */
final class Http {
  private Http() {}

  /** A message: its first line, its headers by lower-case name, and its body. */
  record Message(String firstLine, Map<String, String> headers, byte[] body, boolean complete) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String method() {
      return firstLine.split(" ")[0];
    }

    String target() {
      return firstLine.split(" ")[1];
    }

    String path() {
      return target().split("\\?")[0];
    }

    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    /** Returns a parameter of the query; empty if it is absent. */
    String parameter(String name) {
      String[] parts = target().split("\\?", 2);
      if (parts.length == 2) {
        for (String pair : parts[1].split("&")) {
          if (pair.startsWith(name + "=")) {
            return java.net.URLDecoder.decode(
                pair.substring(name.length() + 1), StandardCharsets.UTF_8);
          }
        }
      }
      return "";
    }
  }

  /** Reads the head of a message; null if the connection ended before it. */
  static Message readHead(InputStream in) throws IOException {
    String first = readLine(in);
    while (first != null && first.isEmpty()) {
      first = readLine(in);
    }
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    while (true) {
      String line = readLine(in);
      if (line == null) {
        throw new EOFException("the connection ended inside a head");
      }
      if (line.isEmpty()) {
        return new Message(first, headers, new byte[0], false);
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
  }

  /** Reads a whole message. Its body is not complete if the connection ended early. */
  static Message read(InputStream in) throws IOException {
    Message head = readHead(in);
    if (head == null) {
      return null;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete;
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      complete = readChunks(in, body);
    } else {
      String length = head.header("content-length");
      complete = readBytes(in, body, length.isEmpty() ? 0 : Integer.parseInt(length));
    }
    return new Message(head.firstLine(), head.headers(), body.toByteArray(), complete);
  }

  private static boolean readChunks(InputStream in, ByteArrayOutputStream body)
      throws IOException {
    while (true) {
      String line = readLine(in);
      if (line == null) {
        return false;
      }
      int length = Integer.parseInt(line.trim(), 16);
      if (!readBytes(in, body, length)) {
        return false;
      }
      if (readLine(in) == null) {
        return false;
      }
      if (length == 0) {
        return true;
      }
    }
  }

  private static boolean readBytes(InputStream in, ByteArrayOutputStream body, int length)
      throws IOException {
    byte[] buffer = new byte[8192];
    int left = length;
    while (left > 0) {
      int count = in.read(buffer, 0, Math.min(buffer.length, left));
      if (count < 0) {
        return false;
      }
      body.write(buffer, 0, count);
      left -= count;
    }
    return true;
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
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
  }

  /** Returns the bytes of a message with a body of known length. */
  static byte[] message(String firstLine, Map<String, String> headers, byte[] body) {
    StringBuilder head = new StringBuilder(firstLine).append("\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
    out.writeBytes(body);
    return out.toByteArray();
  }
}
