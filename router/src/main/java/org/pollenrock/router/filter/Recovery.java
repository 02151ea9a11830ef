package org.pollenrock.router.filter;

import java.util.Optional;
import java.util.function.LongSupplier;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.retry.CallProgress;
import org.pollenrock.core.retry.FailedAttempt;
import org.pollenrock.core.retry.FailureKind;
import org.pollenrock.core.retry.RetryDecision;
import org.pollenrock.core.retry.RetryPolicy;
import org.pollenrock.core.stream.BrokenStream;
import org.pollenrock.core.stream.ResumeDecision;
import org.pollenrock.router.decision.AttemptEnd;
import org.pollenrock.router.decision.Choice;
import org.pollenrock.router.decision.Decisions;
import org.pollenrock.router.decision.EngineQuestion;
import org.pollenrock.router.decision.ResumeAnswer;
import org.pollenrock.router.decision.RetryQuestion;
import org.pollenrock.router.operator.RouterMetrics;

/** What follows a failed attempt: another attempt, a resumed stream, or an error. */
final class Recovery {
  private final Decisions decisions;
  private final RouterMetrics metrics;
  private final LongSupplier nanoClock;

  Recovery(Decisions decisions, RouterMetrics metrics, LongSupplier nanoClock) {
    this.decisions = decisions;
    this.metrics = metrics;
    this.nanoClock = nanoClock;
  }

  /** Decides after a failure before anything was relayed, or of a call that is not streamed. */
  void failed(Exchange exchange, FailedAttempt failed, boolean idempotent) {
    metrics.attemptFailed(exchange.choice().server().value(), failed.kind().name());
    long remaining = exchange.deadlineNanos() - nanoClock.getAsLong();
    CallProgress progress =
        new CallProgress(
            exchange.caller().customer(),
            idempotent,
            exchange.attempts(),
            exchange.earlierRunState(),
            remaining);
    // A server whose identity changed can serve the request once its new identity is known.
    if (failed.kind() != FailureKind.REFUSED_IDENTITY) {
      exchange.avoided().add(exchange.choice().server());
    }
    exchange.earlierRunState(
        RetryPolicy.combineRunStates(exchange.earlierRunState(), failed.runState()));
    decisions.retry(
        new RetryQuestion(failed, progress, exchange.values()),
        decision -> exchange.onLoop(() -> follow(exchange, decision)));
  }

  private void follow(Exchange exchange, RetryDecision decision) {
    switch (decision) {
      case RetryDecision.RetryAfter(long delayNanos) ->
          exchange.after(
              delayNanos,
              () -> {
                exchange.sendMode(new SendMode.Fresh());
                exchange.repeatFrom(Step.CHOOSE);
              });
      case RetryDecision.GiveUp(var error) -> exchange.fail(error);
      case RetryDecision.Resume resume ->
          throw new IllegalStateException("a failure before the first token cannot be resumed");
    }
  }

  /** Decides after a stream broke behind its first token. */
  void broken(Exchange exchange, Choice.Engine choice, Identity identity, boolean sameFailed) {
    StreamRelay stream = exchange.stream();
    exchange.avoided().add(choice.server());
    boolean bodyLost = stream.indexOffset() > 0 && stream.text().isEmpty();
    BrokenStream broken =
        new BrokenStream(
            choice.server(),
            identity.incarnation(),
            identity.weights(),
            stream.nextIndex(),
            stream.indexOffset(),
            stream.breaks(),
            sameFailed || bodyLost,
            stream.text().isPresent());
    EngineQuestion question = exchange.engineQuestion();
    decisions.resume(
        question,
        broken,
        answer -> exchange.onLoop(() -> follow(exchange, choice, answer), () -> giveBack(answer)));
  }

  private void follow(Exchange exchange, Choice.Engine before, ResumeAnswer answer) {
    switch (answer.decision()) {
      case ResumeDecision.ResumeRun same -> {
        metrics.streamRepaired("resumed");
        exchange.sendMode(new SendMode.Resume(same.lastEventId(), same.indexOffset()));
        exchange.choice(before);
        exchange.repeatFrom(Step.SEND);
      }
      case ResumeDecision.ContinueInNewRun next -> continueOn(exchange, answer.choice(), next);
      case ResumeDecision.Interrupt(var error) -> exchange.fail(error);
    }
  }

  private void continueOn(
      Exchange exchange, Optional<Choice.Engine> choice, ResumeDecision.ContinueInNewRun next) {
    metrics.streamRepaired("continued");
    exchange.sendMode(new SendMode.Continue(next.indexOffset()));
    exchange.choice(choice.orElseThrow());
    exchange.repeatFrom(Step.SEND);
  }

  private void giveBack(ResumeAnswer answer) {
    answer.choice().ifPresent(choice -> decisions.engineEnded(choice, AttemptEnd.CANCELLED));
  }

  /** Identity of the server that computed the relayed tokens. */
  record Identity(Incarnation incarnation, WeightsVersion weights) {}
}
