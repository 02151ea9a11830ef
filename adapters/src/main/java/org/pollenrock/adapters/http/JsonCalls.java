package org.pollenrock.adapters.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.error.Step;

/** Conversion between JSON bodies, typed values and results, shared by the clients. */
public final class JsonCalls {
  private static final int OK = 200;

  private final ObjectMapper mapper = new ObjectMapper();
  private final ErrorCode unreachable;

  /**
   * Creates a converter for one kind of peer.
   *
   * @param unreachable code of errors when the peer cannot be reached or its answer is unusable
   */
  public JsonCalls(ErrorCode unreachable) {
    this.unreachable = unreachable;
  }

  /**
   * Headers of a request with a JSON body.
   *
   * @return new headers
   */
  public HttpHeaders jsonHeaders() {
    return new DefaultHttpHeaders().set("Content-Type", "application/json");
  }

  /**
   * Writes a value as JSON.
   *
   * @param value the value
   * @return UTF-8 bytes
   */
  public byte[] write(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Reads the body of a 200 answer.
   *
   * @param outcome how the exchange ended
   * @param peer the other end
   * @param type type of the body
   * @param <T> type of the body
   * @return the value, or the error
   */
  public <T> Result<T> read(HttpOutcome outcome, Peer peer, Class<T> type) {
    return answered(outcome, peer)
        .flatMap(
            answer ->
                answer.status() == OK
                    ? parse(answer.body(), peer, type)
                    : Result.failure(uncertain(peer, "status " + answer.status())));
  }

  /**
   * Passes a complete answer on, whatever its status.
   *
   * @param outcome how the exchange ended
   * @param peer the other end
   * @return the answer, or the error
   */
  public Result<HttpOutcome.Answered> answered(HttpOutcome outcome, Peer peer) {
    return switch (outcome) {
      case HttpOutcome.Answered answer -> Result.success(answer);
      case HttpOutcome.NotSent(String reason) ->
          Result.failure(
              new RequestError.Refusal(unreachable, Step.SEND, Optional.of(peer), reason));
      case HttpOutcome.Broken(String reason, boolean timedOut) ->
          Result.failure(uncertain(peer, timedOut ? "no answer in time" : reason));
    };
  }

  /**
   * Reads a JSON body.
   *
   * @param body UTF-8 bytes
   * @param peer the other end
   * @param type type of the body
   * @param <T> type of the body
   * @return the value, or the error
   */
  public <T> Result<T> parse(byte[] body, Peer peer, Class<T> type) {
    try {
      T value = mapper.readValue(body, type);
      return value == null
          ? Result.failure(uncertain(peer, "the answer is null"))
          : Result.success(value);
    } catch (IOException e) {
      return Result.failure(uncertain(peer, "the answer is not the expected JSON"));
    }
  }

  /**
   * An error after which it is not known whether the request had an effect.
   *
   * @param peer the other end
   * @param message a short explanation
   * @return the error
   */
  public RequestError uncertain(Peer peer, String message) {
    return new RequestError.Uncertain(unreachable, Step.SEND, Optional.of(peer), message);
  }
}
