package org.pollenrock.core.stream;

import java.util.Objects;

/**
 * What to do after an event of a stream.
 *
 * @param <T> type of a token's content
 */
public sealed interface StreamAction<T> {
  /**
   * Relay one token to the caller.
   *
   * @param index position in the whole response, starting at 0
   * @param content what to relay
   * @param <T> type of the content
   */
  record Relay<T>(long index, T content) implements StreamAction<T> {
    /** Checks that the content is present. */
    public Relay {
      Objects.requireNonNull(content, "content");
    }
  }

  /**
   * The response is complete: relay the end marker.
   *
   * @param tokens number of relayed tokens
   * @param <T> type of a token's content
   */
  record Complete<T>(long tokens) implements StreamAction<T> {}

  /**
   * Ignore the event.
   *
   * @param reason why it has no effect
   * @param <T> type of a token's content
   */
  record Drop<T>(DropReason reason) implements StreamAction<T> {
    /** Checks that the reason is present. */
    public Drop {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /**
   * The current attempt cannot deliver the rest: cancel it, close its connection, and ask {@link
   * ResumePlanner} how to go on.
   *
   * @param reason what broke the attempt
   * @param nextTokenIndex first token that was not relayed
   * @param <T> type of a token's content
   */
  record CancelAttempt<T>(BreakReason reason, long nextTokenIndex) implements StreamAction<T> {
    /** Checks that the reason is present. */
    public CancelAttempt {
      Objects.requireNonNull(reason, "reason");
    }
  }

  /** Why an event has no effect. */
  enum DropReason {
    /** It belongs to an attempt that was replaced or broke. */
    OTHER_ATTEMPT,
    /** The token was relayed before. */
    DUPLICATE,
    /** The stream has ended. */
    AFTER_END
  }

  /** What broke an attempt. */
  enum BreakReason {
    /** A token index was skipped. */
    GAP,
    /** The end marker arrived before all tokens, or its count differs from what was relayed. */
    TOKEN_COUNT,
    /** The connection ended without an end marker. */
    CONNECTION_ENDED
  }
}
