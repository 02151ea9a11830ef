package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Requests of one service that wait for a server; the most urgent and among those the oldest goes
 * first.
 */
public final class WaitingLine {
  private static final Comparator<Waiting> FIRST_TO_GO =
      Comparator.comparingInt((Waiting waiting) -> waiting.request().urgency())
          .thenComparingLong(Waiting::order);

  private final TreeSet<Waiting> line = new TreeSet<>(FIRST_TO_GO);
  private long nextOrder;

  /** Creates an empty line. */
  public WaitingLine() {}

  /**
   * Adds a request.
   *
   * @param request the request
   * @param tried servers that failed it before
   * @param giveUpNanos time at which it is to be refused
   * @return its place
   */
  public Waiting add(DispatchRequest request, Set<String> tried, long giveUpNanos) {
    Waiting waiting = new Waiting(request, Set.copyOf(tried), giveUpNanos, nextOrder++);
    line.add(waiting);
    return waiting;
  }

  /**
   * Takes a request out.
   *
   * @param waiting its place
   * @return whether it was still waiting
   */
  public boolean remove(Waiting waiting) {
    return line.remove(waiting);
  }

  /**
   * Takes out the requests that have waited as long as they may.
   *
   * @param nowNanos current time
   * @return the requests
   */
  public List<Waiting> expire(long nowNanos) {
    List<Waiting> expired = new ArrayList<>();
    for (Waiting waiting : line) {
      if (waiting.giveUpNanos() - nowNanos <= 0) {
        expired.add(waiting);
      }
    }
    expired.forEach(line::remove);
    return expired;
  }

  /**
   * Waiting requests in the order in which they go.
   *
   * @return a copy
   */
  public List<Waiting> inOrder() {
    return List.copyOf(line);
  }

  /**
   * Number of waiting requests that go before one of an urgency.
   *
   * @param urgency rank from 0
   * @return the number
   */
  public int ahead(int urgency) {
    int count = 0;
    for (Waiting waiting : line) {
      if (waiting.request().urgency() > urgency) {
        break;
      }
      count++;
    }
    return count;
  }

  /**
   * Number of waiting requests.
   *
   * @return the number
   */
  public int size() {
    return line.size();
  }
}
