import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run into record.txt, with the time since the start. */
final class Record {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void line(String format, Object... values) {
    out.printf("%8.3f ", (System.nanoTime() - startNanos) / 1e9);
    out.println(String.format(format, values));
  }
}
