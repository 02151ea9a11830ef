package org.pollenrock.core.placement;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.Priority;

/**
 * Estimated load of one server: its last report, corrected for the time since the report and for
 * the requests that this router has sent.
 *
 * <p>Reports lag. The tokens of requests that this router sent after a report was made are
 * therefore added immediately, and the tokens in the report are reduced as the server drains its
 * queue or answers requests.
 */
public final class ServerLoad {
  private static final double NANOS_PER_SECOND = 1e9;

  private final BackendServerId server;
  private final long idHash;
  private final Map<PlacementId, InFlightRequest> inFlight = new LinkedHashMap<>();
  private ServerReport report;
  private Incarnation incarnation;
  private boolean accepting;
  private long reportReceivedNanos;

  /**
   * Tokens to prefill for this router's unanswered requests that the last report does not include.
   */
  private double unreportedTokens;

  /** Number of this router's running requests that the last report does not include. */
  private int unreportedRunning;

  /**
   * Tokens of this router's requests that the last report includes and that were answered since.
   */
  private double answeredReportedTokens;

  /** Number of this router's requests that the last report includes and that ended since. */
  private int finishedReportedRequests;

  ServerLoad(ServerReport report, long nowNanos) {
    this.server = report.server();
    this.idHash = RendezvousHash.hash(server.value());
    this.report = report;
    this.incarnation = report.incarnation();
    this.accepting = report.accepting();
    this.reportReceivedNanos = nowNanos;
  }

  /**
   * Applies a newer report.
   *
   * @param newer the report
   * @param accepts whether the server accepts new requests
   * @param nowNanos time at which the report arrived
   * @param lagNanos assumed age of the report at its arrival
   */
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

  /**
   * Records a newer incarnation of the server. The server gets no requests until the first report
   * of that incarnation, because its models are not known before.
   */
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

  /** Adds a request that was sent to the server. */
  void recordSent(InFlightRequest request) {
    inFlight.put(request.chosen().id(), request);
    unreportedTokens += request.missingTokens();
    unreportedRunning++;
  }

  /** Records the first token of a response: the prefill of the request is done. */
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

  /** Removes a request that has ended, with or without a response. */
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
   * Returns the id of the server.
   *
   * @return the server id
   */
  public BackendServerId server() {
    return server;
  }

  /**
   * Returns the hash of the server's id for rendezvous ranking.
   *
   * @return 64-bit hash
   */
  public long idHash() {
    return idHash;
  }

  /**
   * Returns the current incarnation of the server.
   *
   * @return the latest known incarnation
   */
  public Incarnation incarnation() {
    return incarnation;
  }

  /**
   * Returns the data centre of the server.
   *
   * @return the data centre
   */
  public DataCentreId dataCentre() {
    return report.dataCentre();
  }

  /**
   * Returns whether the server accepts new requests.
   *
   * @return false while the server is leaving or loading, and after a restart until its first
   *     report
   */
  public boolean accepting() {
    return accepting;
  }

  /**
   * Returns the models that the server serves.
   *
   * @return the models in the last report
   */
  public List<ServedModel> models() {
    return report.models();
  }

  /** Returns the last report of the server. */
  ServerReport report() {
    return report;
  }

  /**
   * Returns the prefill rate in the last report.
   *
   * @return tokens per second
   */
  public double prefillTokensPerSecond() {
    return report.load().prefillTokensPerSecond();
  }

  /**
   * Returns the time to prefill tokens, without queueing.
   *
   * @param tokens number of tokens
   * @return duration in nanoseconds
   */
  public double prefillNanos(double tokens) {
    return tokens / prefillTokensPerSecond() * NANOS_PER_SECOND;
  }

  /**
   * Estimates the number of prompt tokens that wait for prefill.
   *
   * @param nowNanos the current time
   * @return the reported tokens, minus those that were drained or answered since the report, plus
   *     those of this router's requests that the report does not include
   */
  public double queueTokens(long nowNanos) {
    double seconds = Math.max(0, nowNanos - reportReceivedNanos) / NANOS_PER_SECOND;
    double drained = Math.max(answeredReportedTokens, prefillTokensPerSecond() * seconds);
    return Math.max(0, report.load().queueTokens() - drained) + unreportedTokens;
  }

  /**
   * Returns the prompt tokens to prefill of urgent requests that this router has sent and that are
   * not answered.
   *
   * @return number of tokens
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
   * Estimates the number of requests that hold a slot.
   *
   * @return the reported number, minus this router's requests that ended since the report, plus
   *     those that the report does not include
   */
  public int running() {
    return Math.max(0, report.load().running() - finishedReportedRequests) + unreportedRunning;
  }

  /**
   * Returns the number of requests that can run at the same time.
   *
   * @return number of slots
   */
  public int slots() {
    return report.load().slots();
  }

  /**
   * Returns the number of requests of this router that have not ended.
   *
   * @return number of requests
   */
  public int inFlightCount() {
    return inFlight.size();
  }
}
