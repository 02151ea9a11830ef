package org.pollenrock.core.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.Priority;

/**
 * Load of one server: its last report, aged, plus what this router has sent since.
 *
 * <p>Reports lag, so tokens that this router sent after a report was made are added at once, and
 * tokens of the report are subtracted as the server drains its queue or answers.
 */
public final class ServerLoad {
  private static final double NANOS_PER_SECOND = 1e9;

  private final BackendServerId server;
  private final long seed;
  private final Map<PlacementId, InFlightRequest> inFlight = new LinkedHashMap<>();
  private ServerReport report;
  private Incarnation incarnation;
  private boolean accepting;
  private long reportReceivedNanos;
  private double unreportedTokens;
  private int unreportedRunning;
  private double answeredReportedTokens;
  private int finishedReportedRequests;

  ServerLoad(ServerReport report, long nowNanos) {
    this.server = report.server();
    this.seed = RendezvousHash.hash(server.value());
    this.report = report;
    this.incarnation = report.incarnation();
    this.accepting = report.accepting();
    this.reportReceivedNanos = nowNanos;
  }

  void update(ServerReport newer, boolean accepts, long nowNanos, long lagNanos) {
    if (!newer.incarnation().equals(incarnation)) {
      inFlight.clear();
    }
    report = newer;
    incarnation = newer.incarnation();
    accepting = accepts;
    reportReceivedNanos = nowNanos;
    answeredReportedTokens = 0;
    finishedReportedRequests = 0;
    unreportedTokens = 0;
    unreportedRunning = 0;
    for (InFlightRequest request : inFlight.values()) {
      request.setInReport(nowNanos - request.sentNanos() >= lagNanos);
      if (!request.isInReport()) {
        unreportedRunning++;
        unreportedTokens += request.isAnswered() ? 0 : request.missingTokens();
      }
    }
  }

  /** A newer life was seen; nothing is known about its models until its first report. */
  void markRestarted(Incarnation newer) {
    inFlight.clear();
    incarnation = newer;
    accepting = false;
    unreportedTokens = 0;
    unreportedRunning = 0;
  }

  void stopAccepting() {
    accepting = false;
  }

  void recordSent(InFlightRequest request) {
    inFlight.put(request.chosen().id(), request);
    unreportedTokens += request.missingTokens();
    unreportedRunning++;
  }

  void recordAnswer(InFlightRequest request) {
    if (!inFlight.containsKey(request.chosen().id())) {
      return;
    }
    if (request.isInReport()) {
      answeredReportedTokens += request.missingTokens();
    } else {
      unreportedTokens = Math.max(0, unreportedTokens - request.missingTokens());
    }
  }

  void recordEnd(InFlightRequest request) {
    if (!request.isAnswered()) {
      recordAnswer(request);
    }
    if (inFlight.remove(request.chosen().id()) == null) {
      return;
    }
    if (request.isInReport()) {
      finishedReportedRequests++;
    } else {
      unreportedRunning--;
    }
  }

  /**
   * The server.
   *
   * @return its name
   */
  public BackendServerId server() {
    return server;
  }

  /**
   * Hash of the server's name for rendezvous ranking.
   *
   * @return 64 bits
   */
  public long seed() {
    return seed;
  }

  /**
   * Current life of the server.
   *
   * @return the latest incarnation that was seen
   */
  public Incarnation incarnation() {
    return incarnation;
  }

  /**
   * Where the server runs.
   *
   * @return its data centre
   */
  public DataCentreId dataCentre() {
    return report.dataCentre();
  }

  /**
   * Whether the server takes new requests.
   *
   * @return false while it is leaving, loading or restarted without a report
   */
  public boolean accepting() {
    return accepting;
  }

  /**
   * Models that the server serves.
   *
   * @return the models of the last report
   */
  public List<ServedModel> models() {
    return report.models();
  }

  ServerReport report() {
    return report;
  }

  /**
   * Measured prefill rate.
   *
   * @return tokens per second
   */
  public double prefillTokensPerSecond() {
    return report.load().prefillTokensPerSecond();
  }

  /**
   * Time to prefill tokens without waiting.
   *
   * @param tokens how many
   * @return nanoseconds
   */
  public double prefillNanos(double tokens) {
    return tokens / prefillTokensPerSecond() * NANOS_PER_SECOND;
  }

  /**
   * Prompt tokens that wait for prefill.
   *
   * @param nowNanos the time
   * @return the reported queue, less what was drained or answered, plus what this router sent since
   */
  public double queueTokens(long nowNanos) {
    double seconds = Math.max(0, nowNanos - reportReceivedNanos) / NANOS_PER_SECOND;
    double drained = Math.max(answeredReportedTokens, prefillTokensPerSecond() * seconds);
    return Math.max(0, report.load().queueTokens() - drained) + unreportedTokens;
  }

  /**
   * Prompt tokens of urgent requests that this router has sent and that are not answered.
   *
   * @return tokens
   */
  public double urgentTokens() {
    double tokens = 0;
    for (InFlightRequest request : inFlight.values()) {
      boolean urgent = request.chosen().request().priority() == Priority.URGENT;
      tokens += urgent && !request.isAnswered() ? request.missingTokens() : 0;
    }
    return tokens;
  }

  /**
   * Requests that hold a slot.
   *
   * @return the reported number, less those that finished since, plus those this router sent since
   */
  public int running() {
    return Math.max(0, report.load().running() - finishedReportedRequests) + unreportedRunning;
  }

  /**
   * Requests that can run at the same time.
   *
   * @return slots
   */
  public int slots() {
    return report.load().slots();
  }

  /**
   * Own requests that have not finished.
   *
   * @return the count
   */
  public int inFlightCount() {
    return inFlight.size();
  }
}
