import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Record of what was sent, answered and run, with the seconds since its start. */
final class Record implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  /** Returns the seconds since the start. */
  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Writes a line to the file. */
  synchronized void line(String text) {
    out.println(String.format(Locale.ROOT, "%8.3f  %s", seconds(), text));
  }

  /** Writes a line to the file and to standard output. */
  void say(String text) {
    line(text);
    System.out.println(text);
  }

  @Override
  public void close() {
    out.close();
  }
}
