package org.pollenrock.core.stream;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Step;

/**
 * Decides how a broken stream is repaired.
 *
 * <p>Resuming the same run is preferred, because no token is computed again. A new run must use the
 * same weights version, because text of two versions must not be joined into one response.
 */
public final class ResumePlanner {
  private final int maxBreaks;

  /**
   * Creates a planner.
   *
   * @param maxBreaks maximum number of breaks of one stream that are repaired, not negative
   * @throws IllegalArgumentException if the number is negative
   */
  public ResumePlanner(int maxBreaks) {
    if (maxBreaks < 0) {
      throw new IllegalArgumentException("maxBreaks must not be negative: " + maxBreaks);
    }
    this.maxBreaks = maxBreaks;
  }

  /**
   * Decides how a broken stream is repaired or ended.
   *
   * @param stream the broken stream
   * @param candidates servers in order of preference, including the server of the broken attempt
   *     while that server is known
   * @return a decision to resume the run, continue in a new run, or interrupt the stream
   */
  public ResumeDecision plan(BrokenStream stream, List<ResumeCandidate> candidates) {
    if (stream.breakCount() > maxBreaks) {
      return interrupt(stream, "the stream broke " + stream.breakCount() + " times");
    }
    if (canResumeRun(stream, candidates)) {
      return new ResumeDecision.ResumeRun(
          stream.server(), stream.incarnation(), lastEventId(stream), stream.indexOffset());
    }
    if (!stream.canContinue()) {
      return interrupt(stream, "the run was lost and cannot be continued from its text");
    }
    Optional<ResumeCandidate> continuation =
        candidates.stream().filter(candidate -> canContinueInNewRun(stream, candidate)).findFirst();
    if (continuation.isEmpty()) {
      return interrupt(stream, "no live server has weights " + stream.weights());
    }
    ResumeCandidate chosen = continuation.get();
    return new ResumeDecision.ContinueInNewRun(
        chosen.server(), chosen.incarnation(), chosen.weights(), stream.nextTokenIndex());
  }

  // A leaving server still completes its runs, so acceptsNewRequests is not checked.
  private static boolean canResumeRun(BrokenStream stream, List<ResumeCandidate> candidates) {
    return !stream.sameServerResumeFailed()
        && candidates.stream()
            .anyMatch(candidate -> isSameRun(stream, candidate) && candidate.reachable());
  }

  private static boolean canContinueInNewRun(BrokenStream stream, ResumeCandidate candidate) {
    return candidate.acceptsNewRequests()
        && candidate.reachable()
        && candidate.weights().equals(stream.weights())
        && !isSameRun(stream, candidate);
  }

  private static boolean isSameRun(BrokenStream stream, ResumeCandidate candidate) {
    return candidate.server().equals(stream.server())
        && candidate.incarnation().equals(stream.incarnation());
  }

  private static OptionalLong lastEventId(BrokenStream stream) {
    long attemptTokenCount = stream.nextTokenIndex() - stream.indexOffset();
    return attemptTokenCount == 0 ? OptionalLong.empty() : OptionalLong.of(attemptTokenCount - 1);
  }

  private static ResumeDecision interrupt(BrokenStream stream, String reason) {
    Optional<Peer> peer = Optional.of(new Peer(Peer.Kind.ENGINE, stream.server().value()));
    String message = "Stream interrupted after " + stream.nextTokenIndex() + " tokens: " + reason;
    RequestError error =
        stream.nextTokenIndex() > 0
            ? new RequestError.AfterRun(ErrorCode.STREAM_INTERRUPTED, Step.RELAY, peer, message)
            : new RequestError.Uncertain(ErrorCode.STREAM_INTERRUPTED, Step.RELAY, peer, message);
    return new ResumeDecision.Interrupt(error);
  }
}
