package org.pollenrock.core.fleet;

/**
 * Estimate of the load that other instances put on a server: the larger of the work that they
 * report and of the load in the newest response of the server, which decays with its age.
 */
final class LoadEstimate {
  /** Half-life of the load of other instances that a server reported in a response. */
  static final long HALF_LIFE_NANOS = 500_000_000L;

  private final PeerWork peerWork = new PeerWork();

  /** Running and queued requests of other instances according to the newest load report. */
  private double reportedRequests;

  /** Queued requests of other instances according to the newest load report. */
  private double reportedWaiting;

  private long reportNanos;

  /** Creates the estimate of a server that has reported nothing yet. */
  LoadEstimate(long nowNanos) {
    this.reportNanos = nowNanos;
  }

  /** Records a load report, less the requests of this instance that it includes. */
  void recordReport(LoadReport report, int ownRequests, int ownAwaitingResponse, long nowNanos) {
    reportedRequests = Math.max(0, report.running() + report.waiting() - ownRequests);
    reportedWaiting = Math.max(0, report.waiting() - ownAwaitingResponse);
    reportNanos = nowNanos;
  }

  /** Returns the work that other instances report. */
  PeerWork peerWork() {
    return peerWork;
  }

  /** Returns the estimated number of requests of other instances that run or are queued. */
  double requests(long nowNanos) {
    return Math.max(peerWork.requests(), decayed(reportedRequests, nowNanos));
  }

  /** Returns the estimated number of prompt tokens of other instances still to be read. */
  double unreadTokens(double meanTokens, long nowNanos) {
    return Math.max(peerWork.unreadTokens(), decayed(reportedWaiting, nowNanos) * meanTokens);
  }

  /** Returns what is left of a figure of the newest load report. */
  private double decayed(double reported, long nowNanos) {
    if (reported == 0) {
      return 0;
    }
    double ageNanos = Math.max(0, nowNanos - reportNanos);
    return reported * Math.pow(0.5, ageNanos / HALF_LIFE_NANOS);
  }
}
