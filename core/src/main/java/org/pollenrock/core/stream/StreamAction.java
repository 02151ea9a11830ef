package org.pollenrock.core.stream;

import java.util.Objects;

/**
 * Action to perform after an event of a stream.
 *
 * @param <T> type of a token's content
 */
public sealed interface StreamAction<T> {
  /**
   * Relays one token to the caller.
   *
   * @param index index of the token in the whole response, starting at 0
   * @param content content of the token
   * @param <T> type of the content
   */
  record Relay<T>(long index, T content) implements StreamAction<T> {
    /** Checks that the content is not null. */
    public Relay {
      Objects.requireNonNull(content, "content");
    }
  }

  /**
   * Relays the end marker, because the response is complete.
   *
   * @param tokenCount number of relayed tokens
   * @param <T> type of a token's content
   */
  record Complete<T>(long tokenCount) implements StreamAction<T> {}

  /**
   * Ignores the event.
   *
   * @param reason why the event is ignored
   * @param <T> type of a token's content
   */
  record Drop<T>(DropReason reason) implements StreamAction<T> {
    /** Checks that the reason is not null. */
    public Drop {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * Cancels the current attempt, which cannot deliver the rest of the response, and closes its
   * connection. {@link ResumePlanner} decides how the stream is repaired.
   *
   * @param reason why the attempt broke
   * @param nextTokenIndex index of the first token that was not relayed
   * @param <T> type of a token's content
   */
  record CancelAttempt<T>(BreakReason reason, long nextTokenIndex) implements StreamAction<T> {
    /** Checks that the reason is not null. */
    public CancelAttempt {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /** Reasons for ignoring an event. */
  enum DropReason {
    /** The event belongs to an attempt that was replaced or broke. */
    OTHER_ATTEMPT,
    /** The token was already relayed. */
    DUPLICATE,
    /** The stream has ended. */
    AFTER_END
  }

  /** Reasons why an attempt broke. */
  enum BreakReason {
    /** A token index was skipped. */
    GAP,
    /** The end marker arrived before all tokens, or states another count than was relayed. */
    TOKEN_COUNT,
    /** The connection ended without an end marker. */
    CONNECTION_ENDED
  }
}
