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
    /** Checks that the value is not null. */
    public Success {
      Objects.requireNonNull(value, "value");
    }
  }

  /**
   * The operation failed.
   *
   * @param error the error, with the step and peer at which it occurred
   * @param <T> type of the value on success
   */
  record Failure<T>(RequestError error) implements Result<T> {
    /** Checks that the error is not null. */
    public Failure {
      Objects.requireNonNull(error, "error");
    }
  }

  /**
   * Returns a success with a value.
   *
   * @param value the value
   * @param <T> type of the value
   * @return a success
   */
  static <T> Result<T> success(T value) {
    return new Success<>(value);
  }

  /**
   * Returns a failure with an error.
   *
   * @param error the error
   * @param <T> type of the value on success
   * @return a failure
   */
  static <T> Result<T> failure(RequestError error) {
    return new Failure<>(error);
  }

  /**
   * Applies an operation to the value of a success; a failure keeps its error.
   *
   * @param next operation to apply to the value
   * @param <R> type of the value of the operation
   * @return the outcome of the operation, or a failure with the same error
   */
  default <R> Result<R> flatMap(Function<? super T, Result<R>> next) {
    return switch (this) {
      case Success<T>(T value) -> next.apply(value);
      case Failure<T>(RequestError error) -> new Failure<>(error);
    };
  }
}
