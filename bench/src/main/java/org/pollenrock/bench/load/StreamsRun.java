package org.pollenrock.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/** Opens many streams through a router and reads each to its end. */
public final class StreamsRun {
  private static final long HIGHEST_MICROS = 600_000_000L;
  private static final int DIGITS = 3;
  private static final long GRACE_SECONDS = 60;

  private final LoadClient client;
  private final String address;
  private final int streams;
  private final int tokens;

  private record Ended(long firstNanos, long endNanos, long ttftNanos, boolean whole) {}

  /**
   * Prepares a run.
   *
   * @param client opens the connections
   * @param address where to send
   * @param streams number of streams
   * @param tokens tokens of each stream
   */
  public StreamsRun(LoadClient client, String address, int streams, int tokens) {
    this.client = client;
    this.address = address;
    this.streams = streams;
    this.tokens = tokens;
  }

  /**
   * Opens the connections, then starts every stream, and waits for their ends.
   *
   * @param seconds time that the streams are expected to take
   * @return what was measured
   * @throws InterruptedException when the thread is interrupted
   */
  public StreamsFigures run(double seconds) throws InterruptedException {
    List<LoadConnection> connections = new ArrayList<>();
    for (int i = 0; i < streams; i++) {
      connections.add(client.connect(address));
    }
    Queue<Ended> ended = new ConcurrentLinkedQueue<>();
    CountDownLatch done = new CountDownLatch(streams);
    for (int i = 0; i < streams; i++) {
      LoadRequest request = new LoadRequest.Completion("stream " + i, tokens, true);
      connections
          .get(i)
          .send(
              request,
              answer -> {
                ended.add(ended(request, answer));
                done.countDown();
              });
    }
    done.await(Math.round(seconds) + GRACE_SECONDS, TimeUnit.SECONDS);
    return figures(List.copyOf(ended));
  }

  private static Ended ended(LoadRequest request, LoadAnswer answer) {
    long endNanos = System.nanoTime();
    long sentNanos = endNanos - answer.nanos();
    return new Ended(
        sentNanos + Math.max(0, answer.firstByteNanos()),
        endNanos,
        answer.firstByteNanos(),
        request.matches(answer));
  }

  private StreamsFigures figures(List<Ended> ended) {
    Histogram times = new Histogram(HIGHEST_MICROS, DIGITS);
    List<Ended> whole = ended.stream().filter(Ended::whole).toList();
    whole.forEach(stream -> times.recordValue(stream.ttftNanos() / 1_000));
    return new StreamsFigures(
        streams,
        openAtOnce(whole),
        whole.size(),
        times.getValueAtPercentile(50) / 1_000.0,
        times.getValueAtPercentile(99) / 1_000.0);
  }

  /** Streams that are open when the last one to begin before the first end has begun. */
  private static int openAtOnce(List<Ended> ended) {
    List<Long> ends = ended.stream().map(Ended::endNanos).sorted().toList();
    List<Long> begins = ended.stream().map(Ended::firstNanos).sorted().toList();
    int most = 0;
    int over = 0;
    for (int begun = 1; begun <= begins.size(); begun++) {
      while (ends.get(over) < begins.get(begun - 1)) {
        over++;
      }
      most = Math.max(most, begun - over);
    }
    return most;
  }
}
