package org.pollenrock.router.decision;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.pollenrock.adapters.engine.EngineHead;
import org.pollenrock.core.claim.CallOutcome;
import org.pollenrock.core.claim.ClaimCall;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.retry.RetryDecision;
import org.pollenrock.core.stream.BrokenStream;

/**
 * Questions and notices to the decision task; answers arrive on its thread.
 *
 * <p>A question returns false when too many wait; the request is refused then.
 */
public final class Decisions {
  private final DecisionTask task;
  private final DecisionState state;
  private final LongSupplier nanoClock;
  private final AtomicLong tickets = new AtomicLong();

  /**
   * Creates the facade of a task.
   *
   * @param task the task
   * @param state what the task decides on
   * @param nanoClock monotonic clock
   */
  public Decisions(DecisionTask task, DecisionState state, LongSupplier nanoClock) {
    this.task = task;
    this.state = state;
    this.nanoClock = nanoClock;
  }

  /**
   * Draws a number for a request or an exchange.
   *
   * @return a number that is not drawn again
   */
  public long nextTicket() {
    return tickets.incrementAndGet();
  }

  /**
   * Asks to admit a request. After an {@link AdmitAnswer.Admitted}, and also when no answer is
   * awaited any longer, the ticket must be released.
   *
   * @param ticket number of the request
   * @param request the request
   * @param reply receives exactly one answer unless the ticket is released before
   * @return false when too many questions wait
   */
  public boolean admit(long ticket, AdmitRequest request, Consumer<AdmitAnswer> reply) {
    return task.ask(
        () ->
            state
                .admission()
                .admit(ticket, request, answer -> admitted(request, answer, reply), now()));
  }

  private void admitted(AdmitRequest request, AdmitAnswer answer, Consumer<AdmitAnswer> reply) {
    if (answer instanceof AdmitAnswer.Admitted) {
      state.retries().firstAttempt(request.customer());
    }
    reply.accept(answer);
  }

  /**
   * Releases what an admitted or waiting request holds.
   *
   * @param ticket number of the request
   * @param ran whether it was sent to a server
   */
  public void release(long ticket, boolean ran) {
    task.tell(() -> state.admission().release(ticket, ran, now()));
  }

  /**
   * Chooses an engine.
   *
   * @param question the request
   * @param reply receives the choice
   * @return false when too many questions wait
   */
  public boolean chooseEngine(EngineQuestion question, Consumer<Result<Choice>> reply) {
    return task.ask(
        () ->
            reply.accept(
                state
                    .placement()
                    .choose(question, now())
                    .flatMap(choice -> Result.success(choice))));
  }

  /**
   * Chooses a plain server: the accepting ones take turns.
   *
   * @param service service of the servers
   * @param avoided servers that failed for this call already
   * @param reply receives the choice
   * @return false when too many questions wait
   */
  public boolean choosePlain(
      String service, Set<BackendServerId> avoided, Consumer<Result<Choice>> reply) {
    return task.ask(() -> reply.accept(state.plain().choose(service, avoided, now())));
  }

  /**
   * Decides what follows a failed attempt.
   *
   * @param question the attempt
   * @param reply receives the decision
   */
  public void retry(RetryQuestion question, Consumer<RetryDecision> reply) {
    task.tell(() -> reply.accept(state.retries().decide(question)));
  }

  /**
   * Decides how a broken stream goes on.
   *
   * @param question the request
   * @param broken state of the stream
   * @param reply receives the decision
   */
  public void resume(EngineQuestion question, BrokenStream broken, Consumer<ResumeAnswer> reply) {
    task.tell(() -> reply.accept(state.placement().resume(question, broken, now())));
  }

  /**
   * Notes the head of an engine's answer.
   *
   * @param choice where the request went
   * @param head the head
   */
  public void engineAnswered(Choice.Engine choice, EngineHead head) {
    task.tell(() -> state.placement().answered(choice, head, now()));
  }

  /**
   * Notes that an engine refused a request.
   *
   * @param choice where the request went
   * @param head identity and state that the engine named
   */
  public void engineRefused(Choice.Engine choice, EngineHead head) {
    task.tell(
        () -> {
          state.placement().refused(choice.server(), head, now());
          state.pokeReport(choice.server());
        });
  }

  /**
   * Notes that a server said that it is leaving.
   *
   * @param server the server
   */
  public void plainLeaving(BackendServerId server) {
    task.tell(() -> state.plainLeaving(server));
  }

  /**
   * Ends a placement.
   *
   * @param choice where the request went
   * @param end how it ended
   */
  public void engineEnded(Choice.Engine choice, AttemptEnd end) {
    task.tell(() -> state.placement().ended(choice, end, now()));
  }

  /**
   * Ends a plain call.
   *
   * @param service service of the server
   * @param server the server
   * @param success whether it answered
   */
  public void plainEnded(String service, BackendServerId server, boolean success) {
    task.tell(() -> state.plain().ended(service, server, success, now()));
  }

  /**
   * Begins to watch an exchange.
   *
   * @param server the server
   * @param id number of the exchange
   * @param exchange its progress
   * @param deadline longest silence
   */
  public void watch(
      BackendServerId server, long id, WatchedExchange exchange, ProgressDeadline deadline) {
    task.tell(() -> state.links().started(server, id, exchange, deadline, now()));
  }

  /**
   * Ends the watch of an exchange.
   *
   * @param server the server
   * @param id number of the exchange
   */
  public void unwatch(BackendServerId server, long id) {
    task.tell(() -> state.links().ended(server, id));
  }

  /**
   * Asks for the claim of a non-idempotent call.
   *
   * @param call the call
   * @param listener hears what becomes of it
   * @return false when too many questions wait
   */
  public boolean claim(ClaimCall call, ClaimListener listener) {
    return task.ask(() -> state.claims().begin(call, listener));
  }

  /**
   * Asks, directly before the first byte leaves, whether a granted call may be sent.
   *
   * @param callId number of the call
   * @param reply receives true at most once a call
   */
  public void maySendClaimed(long callId, Consumer<Boolean> reply) {
    task.tell(() -> reply.accept(state.claims().mayBeSent(callId)));
  }

  /**
   * Records that a claimed call ran.
   *
   * @param callId number of the call
   * @param outcome the answer
   */
  public void claimFinished(long callId, CallOutcome outcome) {
    task.tell(() -> state.claims().finished(callId, outcome));
  }

  /**
   * Records that a claimed call may have run.
   *
   * @param callId number of the call
   */
  public void claimUnknown(long callId) {
    task.tell(() -> state.claims().responseLost(callId));
  }

  /**
   * Releases a claim: the call certainly did not reach the service.
   *
   * @param callId number of the call
   * @param reason what the caller is told
   */
  public void claimNotSent(long callId, RequestError.Refusal reason) {
    task.tell(() -> state.claims().notSent(callId, reason));
  }

  /**
   * Gives up a claimed call that was not sent.
   *
   * @param callId number of the call
   */
  public void claimCancelled(long callId) {
    task.tell(() -> state.claims().cancelled(callId));
  }

  /**
   * Runs a notice on the decision thread.
   *
   * @param notice receives the state
   */
  public void tell(Consumer<DecisionState> notice) {
    task.tell(() -> notice.accept(state));
  }

  /**
   * Reads from the state.
   *
   * @param query runs on the decision thread
   * @param reply receives the result there
   * @param <T> type of the result
   * @return false when too many questions wait
   */
  public <T> boolean query(Function<DecisionState, T> query, Consumer<T> reply) {
    return task.ask(() -> reply.accept(query.apply(state)));
  }

  /**
   * Messages that wait for the decision thread.
   *
   * @return the number
   */
  public int waiting() {
    return task.waiting();
  }

  private long now() {
    return nanoClock.getAsLong();
  }

  static RequestError noServer(String message) {
    return new RequestError.Refusal(ErrorCode.NO_SERVER, Step.CHOOSE, Optional.empty(), message);
  }
}
