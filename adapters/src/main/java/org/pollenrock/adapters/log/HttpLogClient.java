package org.pollenrock.adapters.log;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.pollenrock.adapters.http.ConnectionUse;
import org.pollenrock.adapters.http.HeldBytes;
import org.pollenrock.adapters.http.HostPort;
import org.pollenrock.adapters.http.HttpCall;
import org.pollenrock.adapters.http.HttpOutcome;
import org.pollenrock.adapters.http.HttpTransport;
import org.pollenrock.adapters.http.JsonCalls;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.error.Step;

/** {@link LogClient} over HTTP. */
public final class HttpLogClient implements LogClient {
  private static final int MAX_PAGE_BYTES = 16 * 1024 * 1024;
  private static final long MAX_HELD_BYTES = 4L * MAX_PAGE_BYTES;
  private static final int MAX_APPEND_ANSWER_BYTES = 64 * 1024;
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;

  private final HttpTransport transport;
  private final HostPort address;
  private final HeldBytes held = new HeldBytes(MAX_HELD_BYTES);
  private final Duration timeout;
  private final Peer peer;
  private final JsonCalls json = new JsonCalls(ErrorCode.CLAIM_UNAVAILABLE);

  /**
   * Creates a client.
   *
   * @param transport connections
   * @param address where the log service listens
   * @param timeout longest time of an exchange, on top of the wait of a read
   */
  public HttpLogClient(HttpTransport transport, HostPort address, Duration timeout) {
    this.transport = transport;
    this.address = address;
    this.timeout = timeout;
    this.peer = new Peer(Peer.Kind.LOG, address.toString());
  }

  @Override
  public CompletionStage<Result<Appended>> append(String stream, byte[] data) {
    HttpCall call =
        call("POST", "/streams/" + stream + "/records", data, timeout, MAX_APPEND_ANSWER_BYTES);
    return transport.call(call).thenApply(this::appended);
  }

  @Override
  public CompletionStage<Result<LogRead>> read(String stream, long from, int max, Duration wait) {
    String path =
        "/streams/%s/records?from=%d&max=%d&wait_ms=%d"
            .formatted(stream, from, max, wait.toMillis());
    HttpCall call = call("GET", path, new byte[0], timeout.plus(wait), MAX_PAGE_BYTES);
    return transport.call(call).thenApply(this::readResult);
  }

  private HttpCall call(
      String method, String path, byte[] body, Duration limit, int maxAnswerBytes) {
    return new HttpCall(
        address,
        method,
        path,
        new DefaultHttpHeaders(),
        body,
        limit,
        maxAnswerBytes,
        held,
        ConnectionUse.ANY);
  }

  private Result<Appended> appended(HttpOutcome outcome) {
    return json.answered(outcome, peer)
        .flatMap(
            answer -> {
              if (answer.status() == TOO_MANY_REQUESTS) {
                return Result.failure(
                    new RequestError.Refusal(
                        ErrorCode.CLAIM_UNAVAILABLE,
                        Step.SEND,
                        Optional.of(peer),
                        "over the append rate of the log"));
              }
              if (answer.status() != OK) {
                return Result.failure(json.uncertain(peer, "status " + answer.status()));
              }
              return json.parse(answer.body(), peer, AppendBody.class)
                  .flatMap(body -> Result.success(new Appended(body.offset(), body.timeMillis())));
            });
  }

  private Result<LogRead> readResult(HttpOutcome outcome) {
    return json.answered(outcome, peer)
        .flatMap(
            answer ->
                switch (answer.status()) {
                  case OK ->
                      json.parse(answer.body(), peer, PageBody.class)
                          .flatMap(body -> Result.success(body.toRead()));
                  case GONE ->
                      json.parse(answer.body(), peer, PageBody.class)
                          .flatMap(body -> Result.success(new LogRead.Truncated(body.first())));
                  default -> Result.failure(json.uncertain(peer, "status " + answer.status()));
                });
  }

  @JsonIgnoreProperties(ignoreUnknown = true)
  private record AppendBody(
      @JsonProperty("offset") long offset, @JsonProperty("time_ms") long timeMillis) {}

  @JsonIgnoreProperties(ignoreUnknown = true)
  private record PageBody(
      @JsonProperty("first") long first,
      @JsonProperty("head") long head,
      @JsonProperty("head_time_ms") long headTimeMillis,
      @JsonProperty("records") List<RecordBody> records) {
    LogRead toRead() {
      List<LogRecord> converted =
          records == null ? List.of() : records.stream().map(RecordBody::toRecord).toList();
      return new LogRead.Records(first, head, headTimeMillis, converted);
    }
  }

  @JsonIgnoreProperties(ignoreUnknown = true)
  private record RecordBody(
      @JsonProperty("offset") long offset,
      @JsonProperty("time_ms") long timeMillis,
      @JsonProperty("data") byte[] data) {
    LogRecord toRecord() {
      return new LogRecord(offset, timeMillis, data == null ? new byte[0] : data);
    }
  }
}
