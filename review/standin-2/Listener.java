import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Listening socket with a thread for each connection, which carries one request at a time. */
final class Listener {
  /** Answers a request on its connection. */
  interface Handler {
    /** Returns whether the connection may carry another request. */
    boolean handle(Http.Request request, Socket socket, OutputStream out) throws Exception;
  }

  private final ServerSocket socket;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

  Listener(Handler handler) throws IOException {
    socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    Thread.ofVirtual().start(() -> accept(handler));
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Stops listening and closes all connections. */
  void close() throws IOException {
    socket.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }

  private void accept(Handler handler) {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        Thread.ofVirtual().start(() -> serve(connection, handler));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection, Handler handler) {
    try (connection) {
      InputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      Http.Request request = Http.readRequest(in);
      while (request != null && handler.handle(request, connection, out)) {
        request = Http.readRequest(in);
      }
    } catch (Exception e) {
      // The other side has closed or reset the connection.
    } finally {
      connections.remove(connection);
    }
  }
}
