package org.pollenrock.core.stream;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * Joins the tokens of all attempts of one request into one response.
 *
 * <p>Each index is relayed exactly once and in order. Only the current attempt has an effect;
 * whatever an older attempt still delivers is dropped. Nothing is buffered: within one connection
 * tokens arrive in order, so a skipped index means lost tokens and breaks the attempt.
 *
 * @param <T> type of a token's content
 */
public final class StreamAssembler<T> {
  private enum State {
    /** No attempt may deliver tokens. */
    WAITING,
    /** The current attempt delivers tokens. */
    OPEN,
    /** Completed or aborted. */
    ENDED
  }

  private State state = State.WAITING;
  private AttemptId currentAttempt;
  private long currentIndexOffset;
  private long nextTokenIndex;

  /** Starts without an attempt and without tokens. */
  public StreamAssembler() {}

  /**
   * Makes an attempt the current one; tokens of the previous one are dropped from now on.
   *
   * @param attempt the new attempt, later than the previous one
   * @param indexOffset what to add to the attempt's own indexes: for a resumed stream the offset of
   *     the resumed attempt, for a continued one the number of tokens in its prompt that were
   *     already relayed
   * @throws IllegalArgumentException when the attempt is not later than the previous one, or the
   *     offset would skip tokens
   * @throws IllegalStateException when the stream has ended
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
      throw new IllegalArgumentException("offset " + indexOffset + " outside 0.." + nextTokenIndex);
    }
    currentAttempt = attempt;
    currentIndexOffset = indexOffset;
    state = State.OPEN;
  }

  /**
   * Takes one token.
   *
   * @param attempt attempt that delivered it
   * @param index the attempt's own index of the token, starting at 0
   * @param content content of the token
   * @return relay, drop or broken
   */
  public StreamAction<T> handleToken(AttemptId attempt, long index, T content) {
    if (!isCurrent(attempt)) {
      return dropEvent();
    }
    long absolute = currentIndexOffset + index;
    if (absolute < nextTokenIndex) {
      return new StreamAction.Drop<>(StreamAction.DropReason.DUPLICATE);
    }
    if (absolute > nextTokenIndex) {
      return breakAttempt(StreamAction.BreakReason.GAP);
    }
    nextTokenIndex++;
    return new StreamAction.Relay<>(absolute, content);
  }

  /**
   * Takes the end marker of an attempt.
   *
   * @param attempt attempt that delivered it
   * @param count number of tokens that the attempt says it produced, counted like its indexes;
   *     empty when the server states none, and the order on the connection must be relied on
   * @return complete, drop or broken
   */
  public StreamAction<T> handleEndMarker(AttemptId attempt, OptionalLong count) {
    if (!isCurrent(attempt)) {
      return dropEvent();
    }
    if (count.isPresent() && currentIndexOffset + count.getAsLong() != nextTokenIndex) {
      return breakAttempt(StreamAction.BreakReason.TOKEN_COUNT);
    }
    state = State.ENDED;
    return new StreamAction.Complete<>(nextTokenIndex);
  }

  /**
   * Takes the loss of an attempt's connection.
   *
   * @param attempt attempt whose connection ended, was reset or missed its progress deadline
   * @return broken, or drop when the attempt is not the current one
   */
  public StreamAction<T> handleConnectionEnd(AttemptId attempt) {
    if (!isCurrent(attempt)) {
      return dropEvent();
    }
    return breakAttempt(StreamAction.BreakReason.CONNECTION_ENDED);
  }

  /** Ends the stream without completing it: the caller left or was told of an error. */
  public void abort() {
    state = State.ENDED;
  }

  /**
   * First index that was not relayed.
   *
   * @return the number of relayed tokens
   */
  public long nextTokenIndex() {
    return nextTokenIndex;
  }

  /**
   * Offset of the current attempt's indexes in the whole response.
   *
   * @return tokens before the attempt's own index 0
   */
  public long indexOffset() {
    return currentIndexOffset;
  }

  /**
   * Tells whether the stream was completed or aborted.
   *
   * @return true when no further token will be relayed
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
