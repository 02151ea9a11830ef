import java.io.IOException;

/** Starts daemon threads whose failed connections end quietly. */
final class Threads {
  /** A task that may fail because its connection ended. */
  interface Task {
    void run() throws IOException, InterruptedException;
  }

  private Threads() {}

  static Thread start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The peer closed or reset the connection.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
