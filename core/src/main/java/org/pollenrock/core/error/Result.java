package org.pollenrock.core.error;

import java.util.Objects;
import java.util.function.Function;

/**
 * Outcome of an operation that can fail in an expected way.
 *
 * @param <T> type of the value on success
 */
public sealed interface Result<T> {
  /**
   * The operation succeeded.
   *
   * @param value the value
   * @param <T> type of the value
   */
  record Success<T>(T value) implements Result<T> {
    /** Checks that the value is present. */
    public Success {
      Objects.requireNonNull(value, "value");
    }
  }

  /**
   * The operation failed.
   *
   * @param error what went wrong, at which step and peer
   * @param <T> type that a success would have had
   */
  record Failure<T>(RequestError error) implements Result<T> {
    /** Checks that the error is present. */
    public Failure {
      Objects.requireNonNull(error, "error");
    }
  }

  /**
   * Wraps a value.
   *
   * @param value the value
   * @param <T> type of the value
   * @return a success
   */
  static <T> Result<T> success(T value) {
    return new Success<>(value);
  }

  /**
   * Wraps an error.
   *
   * @param error the error
   * @param <T> type that a success would have had
   * @return a failure
   */
  static <T> Result<T> failure(RequestError error) {
    return new Failure<>(error);
  }

  /**
   * Applies the next operation to a value, or passes an error on.
   *
   * @param next the next operation
   * @param <R> type of its value
   * @return its outcome, or this failure
   */
  default <R> Result<R> flatMap(Function<? super T, Result<R>> next) {
    return switch (this) {
      case Success<T>(T value) -> next.apply(value);
      case Failure<T>(RequestError error) -> new Failure<>(error);
    };
  }
}
