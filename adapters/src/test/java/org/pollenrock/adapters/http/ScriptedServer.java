package org.pollenrock.adapters.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A server whose bytes a test writes itself. */
public final class ScriptedServer implements AutoCloseable {
  private static final String LENGTH = "content-length:";

  private final ServerSocket listener;
  private final Script script;
  private final Runnable clientClosed;
  private final List<Socket> connections = new CopyOnWriteArrayList<>();

  /** Answers requests. */
  public interface Script {
    /**
     * Answers one request.
     *
     * @param connection number of the connection, from 0
     * @param exchange number of the request on the connection, from 0
     * @param request head of the request
     * @param out where to write
     * @return whether the connection stays open
     */
    boolean answer(int connection, int exchange, String request, OutputStream out)
        throws IOException;
  }

  /** Listens on loopback. */
  public ScriptedServer(Script script) throws IOException {
    this(script, () -> {});
  }

  /** Listens on loopback, and tells each close of a connection by the client. */
  ScriptedServer(Script script, Runnable clientClosed) throws IOException {
    this.script = script;
    this.clientClosed = clientClosed;
    listener = new ServerSocket(0, 1_000, InetAddress.getLoopbackAddress());
    Thread.ofVirtual().start(this::accept);
  }

  /** Where the server listens. */
  public HostPort address() {
    return new HostPort("127.0.0.1", listener.getLocalPort());
  }

  int connections() {
    return connections.size();
  }

  /** Value of a header of a request, empty when it has none. */
  public static String header(String request, String name) {
    String start = name.toLowerCase(Locale.ROOT) + ":";
    return request
        .lines()
        .filter(line -> line.toLowerCase(Locale.ROOT).startsWith(start))
        .map(line -> line.substring(start.length()).strip())
        .findFirst()
        .orElse("");
  }

  /** Waits for a latch for as long as a test may take. */
  static void await(CountDownLatch latch) {
    try {
      if (!latch.await(30, TimeUnit.SECONDS)) {
        throw new IllegalStateException("not reached");
      }
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        int number = connections.size();
        connections.add(socket);
        Thread.ofVirtual().start(() -> serve(number, socket));
      }
    } catch (IOException e) {
      // The test has closed the listener.
    }
  }

  private void serve(int number, Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      int exchange = 0;
      String request = read(in);
      while (!request.isEmpty()
          && script.answer(number, exchange, request, socket.getOutputStream())) {
        exchange++;
        request = read(in);
      }
    } catch (IOException e) {
      // The client has closed the connection.
    } finally {
      clientClosed.run();
    }
  }

  private static String read(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        return "";
      }
      head.write(next);
    }
    String text = head.toString(StandardCharsets.ISO_8859_1);
    String length = header(text, LENGTH.substring(0, LENGTH.length() - 1));
    in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
    return text;
  }

  @Override
  public void close() {
    try {
      listener.close();
      for (Socket socket : connections) {
        socket.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
