package org.pollenrock.core.stream;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Joins the tokens of all attempts of one request into one response.
 *
 * <p>Each index is relayed exactly once and in order. Events of attempts other than the current one
 * are dropped. Tokens are not buffered: within one connection they arrive in order, so a skipped
 * index means that tokens were lost and breaks the attempt.
 *
 * @param <T> type of a token's content
 */
public final class StreamAssembler<T> {
  /** States of the stream. */
  private enum State {
    /** No attempt is current; all events are dropped. */
    WAITING,
    /** The current attempt delivers tokens. */
    OPEN,
    /** The stream was completed or aborted. */
    ENDED
  }

  private State state = State.WAITING;
  private AttemptId currentAttempt;
  private long currentIndexOffset;
  private long nextTokenIndex;

  /** Creates an assembler without a current attempt and without relayed tokens. */
  public StreamAssembler() {}

  /**
   * Makes an attempt the current one. Later events of the previous attempt are dropped.
   *
   * @param attempt the new attempt, which must be later than the previous one
   * @param indexOffset index in the whole response of the attempt's own index 0: for a resumed run
   *     the offset of the resumed attempt, for a continuation in a new run the number of tokens in
   *     its prompt that were already relayed
   * @throws IllegalArgumentException if the attempt is not later than the previous one, or the
   *     offset is negative or would skip tokens
   * @throws IllegalStateException if the stream has ended
   */
  public void startAttempt(AttemptId attempt, long indexOffset) {
    Objects.requireNonNull(attempt, "attempt");
    if (state == State.ENDED) {
      throw new IllegalStateException("the stream has ended");
    }
    if (currentAttempt != null && !attempt.isAfter(currentAttempt)) {
      throw new IllegalArgumentException("attempt " + attempt + " is not after " + currentAttempt);
    }
    if (indexOffset < 0 || indexOffset > nextTokenIndex) {
      throw new IllegalArgumentException(
          "indexOffset " + indexOffset + " is outside 0.." + nextTokenIndex);
    }
    currentAttempt = attempt;
    currentIndexOffset = indexOffset;
    state = State.OPEN;
  }

  /**
   * Handles one token.
   *
   * @param attempt attempt that delivered the token
   * @param index the attempt's own index of the token, starting at 0
   * @param content content of the token
   * @return relay, drop, or cancel if the index skips tokens
   */
  public StreamAction<T> handleToken(AttemptId attempt, long index, T content) {
    if (!isCurrent(attempt)) {
      return dropEvent();
    }
    long responseIndex = currentIndexOffset + index;
    if (responseIndex < nextTokenIndex) {
      return new StreamAction.Drop<>(StreamAction.DropReason.DUPLICATE);
    }
    if (responseIndex > nextTokenIndex) {
      return breakAttempt(StreamAction.BreakReason.GAP);
    }
    nextTokenIndex++;
    return new StreamAction.Relay<>(responseIndex, content);
  }

  /**
   * Handles the end marker of an attempt.
   *
   * @param attempt attempt that delivered the end marker
   * @param statedCount number of tokens that the server states, counted like the attempt's own
   *     indexes; empty if the server states none, in which case the count is not checked because
   *     tokens arrive in order on the connection
   * @return complete, drop, or cancel if the count differs from the relayed tokens
   */
  public StreamAction<T> handleEndMarker(AttemptId attempt, OptionalLong statedCount) {
    if (!isCurrent(attempt)) {
      return dropEvent();
    }
    if (statedCount.isPresent() && currentIndexOffset + statedCount.getAsLong() != nextTokenIndex) {
      return breakAttempt(StreamAction.BreakReason.TOKEN_COUNT);
    }
    state = State.ENDED;
    return new StreamAction.Complete<>(nextTokenIndex);
  }

  /**
   * Handles the end of an attempt's connection before the end marker.
   *
   * @param attempt attempt whose connection ended, was reset or missed its progress deadline
   * @return cancel, or drop if the attempt is not the current one
   */
  public StreamAction<T> handleConnectionEnd(AttemptId attempt) {
    if (!isCurrent(attempt)) {
      return dropEvent();
    }
    return breakAttempt(StreamAction.BreakReason.CONNECTION_ENDED);
  }

  /** Ends the stream without completing it, after the caller disconnected or received an error. */
  public void abort() {
    state = State.ENDED;
  }

  /**
   * Returns the index of the first token that was not relayed.
   *
   * @return the number of relayed tokens
   */
  public long nextTokenIndex() {
    return nextTokenIndex;
  }

  /**
   * Returns the offset of the current attempt's own indexes in the whole response.
   *
   * @return number of tokens before the attempt's own index 0
   */
  public long indexOffset() {
    return currentIndexOffset;
  }

  /**
   * Returns whether the stream was completed or aborted.
   *
   * @return true if no further token will be relayed
   */
  public boolean isEnded() {
    return state == State.ENDED;
  }

  private boolean isCurrent(AttemptId attempt) {
    return state == State.OPEN && currentAttempt.equals(attempt);
  }

  private StreamAction<T> dropEvent() {
    StreamAction.DropReason reason =
        state == State.ENDED
            ? StreamAction.DropReason.AFTER_END
            : StreamAction.DropReason.OTHER_ATTEMPT;
    return new StreamAction.Drop<>(reason);
  }

  private StreamAction<T> breakAttempt(StreamAction.BreakReason reason) {
    state = State.WAITING;
    return new StreamAction.CancelAttempt<>(reason, nextTokenIndex);
  }
}
