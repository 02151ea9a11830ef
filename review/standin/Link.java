import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Path of one machine to the store, on which the store can give this machine no response. */
final class Link {
  private final ServerSocket socket;
  private final int port;
  private boolean silent;
  private String awaitedTopic = "";
  private int unanswered;

  Link(Store store) throws IOException {
    port = Integer.parseInt(store.address().split(":")[1]);
    socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Stops answering. Calls that arrive from now on are never answered, nor are pending ones. */
  synchronized void silence() {
    silent = true;
  }

  /** Waits for the next unanswered call on a topic and then answers later calls again. */
  synchronized void endSilenceAfterCall(String topic) throws InterruptedException {
    awaitedTopic = topic;
    int before = unanswered;
    while (unanswered == before) {
      wait();
    }
    silent = false;
  }

  /** Returns whether bytes may pass; otherwise their connection stays without answers for good. */
  private synchronized boolean passes(String bytes) {
    boolean passes = !silent;
    if (silent && bytes.contains("topic=" + awaitedTopic)) {
      unanswered++;
      notifyAll();
    }
    return passes;
  }

  private synchronized boolean isSilent() {
    return silent;
  }

  private void accept() throws IOException {
    while (true) {
      Socket machine = socket.accept();
      Threads.start(() -> relay(machine));
    }
  }

  private void relay(Socket machine) throws IOException {
    try (machine;
        Socket store = new Socket("127.0.0.1", port)) {
      machine.setTcpNoDelay(true);
      store.setTcpNoDelay(true);
      boolean[] dead = new boolean[1];
      Threads.start(() -> answer(store, machine, dead));
      byte[] buffer = new byte[65_536];
      InputStream in = machine.getInputStream();
      int count = in.read(buffer);
      while (count >= 0) {
        String bytes = new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
        if (!dead[0] && passes(bytes)) {
          store.getOutputStream().write(buffer, 0, count);
        } else {
          dead[0] = true;
        }
        count = in.read(buffer);
      }
    }
  }

  private void answer(Socket store, Socket machine, boolean[] dead) throws IOException {
    byte[] buffer = new byte[65_536];
    InputStream in = store.getInputStream();
    OutputStream out = machine.getOutputStream();
    int count = in.read(buffer);
    while (count >= 0) {
      if (isSilent()) {
        dead[0] = true;
      }
      if (!dead[0]) {
        out.write(buffer, 0, count);
      }
      count = in.read(buffer);
    }
  }
}
