package org.pollenrock.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RunState;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.model.WeightsVersion;

/**
 * Guards against joining the tokens of runs with different weights or a lost state, and against
 * relaying the response to another request.
 */
class ResumePlannerTest {
  private static final BackendServerId A = new BackendServerId("a");
  private static final BackendServerId B = new BackendServerId("b");
  private static final WeightsVersion V1 = new WeightsVersion("v1");
  private static final WeightsVersion V2 = new WeightsVersion("v2");
  private static final Incarnation FIRST = new Incarnation(1);
  private static final Incarnation SECOND = new Incarnation(2);

  private final ResumePlanner planner = new ResumePlanner(3);

  private static BrokenStream brokenStream(
      long nextTokenIndex, int breakCount, boolean sameServerResumeFailed, boolean canContinue) {
    return new BrokenStream(
        A, FIRST, V1, nextTokenIndex, 0, breakCount, sameServerResumeFailed, canContinue);
  }

  private static ResumeCandidate liveServer(
      BackendServerId id, Incarnation incarnation, WeightsVersion weights) {
    return new ResumeCandidate(id, incarnation, weights, true, true);
  }

  private static void assertInterrupted(ResumeDecision decision, RunState runState) {
    assertThat(decision).isInstanceOf(ResumeDecision.Interrupt.class);
    var error = ((ResumeDecision.Interrupt) decision).error();
    assertThat(error.code()).isEqualTo(ErrorCode.STREAM_INTERRUPTED);
    assertThat(error.runState()).isEqualTo(runState);
  }

  @Test
  void resumesTheSameRunOnALeavingServer() {
    ResumeCandidate leaving = new ResumeCandidate(A, FIRST, V1, false, true);
    assertThat(
            planner.plan(
                brokenStream(5, 1, false, true), List.of(liveServer(B, FIRST, V1), leaving)))
        .isEqualTo(new ResumeDecision.ResumeRun(A, FIRST, OptionalLong.of(4), 0));
    assertThat(planner.plan(brokenStream(0, 1, false, true), List.of(leaving)))
        .isEqualTo(new ResumeDecision.ResumeRun(A, FIRST, OptionalLong.empty(), 0));
  }

  @Test
  void startsNewRunOnAnotherIncarnationOfTheServer() {
    assertThat(planner.plan(brokenStream(5, 1, false, true), List.of(liveServer(A, SECOND, V1))))
        .isEqualTo(new ResumeDecision.ContinueInNewRun(A, SECOND, V1, 5));
  }

  @Test
  void continuesOnlyUnderTheSameWeights() {
    List<ResumeCandidate> servers = List.of(liveServer(B, FIRST, V2), liveServer(B, SECOND, V1));
    assertThat(planner.plan(brokenStream(5, 1, true, true), servers))
        .isEqualTo(new ResumeDecision.ContinueInNewRun(B, SECOND, V1, 5));
    assertInterrupted(
        planner.plan(brokenStream(5, 1, true, true), List.of(liveServer(B, FIRST, V2))),
        RunState.RAN);
  }

  @Test
  void startsNoNewRunOnLeavingOrUnreachableServers() {
    List<ResumeCandidate> servers =
        List.of(
            new ResumeCandidate(A, SECOND, V1, false, true),
            new ResumeCandidate(B, FIRST, V1, true, false));
    assertInterrupted(planner.plan(brokenStream(5, 1, false, true), servers), RunState.RAN);
  }

  @Test
  void interruptsAfterTooManyBreaksOrWhenTextCannotBeContinued() {
    List<ResumeCandidate> servers = List.of(liveServer(B, FIRST, V1));
    assertInterrupted(planner.plan(brokenStream(5, 4, false, true), servers), RunState.RAN);
    assertInterrupted(planner.plan(brokenStream(5, 1, true, false), servers), RunState.RAN);
    assertInterrupted(planner.plan(brokenStream(0, 1, true, false), servers), RunState.UNKNOWN);
  }

  @Test
  void verifierDropsResponsesOfOtherAttemptsIncarnationsAndWeights() {
    ResponseVerifier verifier = new ResponseVerifier();
    AttemptId sent = new AttemptId(new InstanceId("r"), FIRST, 9);
    AttemptId other = new AttemptId(new InstanceId("r"), SECOND, 9);
    ExpectedResponse expected = new ExpectedResponse(sent, Optional.of(FIRST), Optional.of(V1));
    assertThat(verifier.verify(expected, identity(sent, FIRST, V1)).canRelay()).isTrue();
    assertThat(verifier.verify(expected, identity(other, FIRST, V1)))
        .isEqualTo(new ResponseVerification.OtherAttempt(Optional.of(other)));
    assertThat(verifier.verify(expected, identity(null, FIRST, V1)))
        .isEqualTo(new ResponseVerification.OtherAttempt(Optional.empty()));
    assertThat(verifier.verify(expected, identity(sent, SECOND, V1)))
        .isEqualTo(new ResponseVerification.OtherIncarnation(Optional.of(SECOND)));
    assertThat(verifier.verify(expected, identity(sent, FIRST, null)))
        .isEqualTo(new ResponseVerification.OtherWeights(Optional.empty()));
    ExpectedResponse plain = new ExpectedResponse(sent, Optional.empty(), Optional.empty());
    assertThat(verifier.verify(plain, identity(sent, null, null)).canRelay()).isTrue();
  }

  @Test
  void attemptHeaderIsParsedAndMalformedValuesAreRejected() {
    AttemptId attempt = new AttemptId(new InstanceId("dc/router-1"), new Incarnation(-3), 42);
    assertThat(AttemptId.parse(attempt.headerValue())).contains(attempt);
    for (String malformed :
        List.of("", "/", "//", "a/1", "/1/2", "a/b/2", "a/1/-2", "a/1/", " /1/2")) {
      assertThat(AttemptId.parse(malformed)).as(malformed).isEmpty();
    }
  }

  private static ResponseIdentity identity(
      AttemptId attempt, Incarnation incarnation, WeightsVersion weights) {
    return new ResponseIdentity(
        Optional.ofNullable(attempt),
        Optional.ofNullable(incarnation),
        Optional.ofNullable(weights));
  }
}
