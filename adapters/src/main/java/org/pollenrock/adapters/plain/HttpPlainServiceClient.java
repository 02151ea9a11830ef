package org.pollenrock.adapters.plain;

import java.util.concurrent.Future;
import java.util.function.Consumer;
import org.pollenrock.adapters.http.HeldBytes;
import org.pollenrock.adapters.http.HttpCall;
import org.pollenrock.adapters.http.HttpOutcome;
import org.pollenrock.adapters.http.HttpTransport;
import org.pollenrock.adapters.http.JsonCalls;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.Result;

/** {@link PlainServiceClient} over HTTP. */
public final class HttpPlainServiceClient implements PlainServiceClient {
  private final HttpTransport transport;
  private final int maxAnswerBytes;
  private final HeldBytes held;
  private final JsonCalls json = new JsonCalls(ErrorCode.SERVER_FAILED);

  /**
   * Creates a client.
   *
   * @param transport connections
   * @param maxAnswerBytes largest body of an answer
   * @param held account of the answers of all calls
   */
  public HttpPlainServiceClient(HttpTransport transport, int maxAnswerBytes, HeldBytes held) {
    this.transport = transport;
    this.maxAnswerBytes = maxAnswerBytes;
    this.held = held;
  }

  @Override
  public PlainExchange send(PlainCall call, Consumer<Result<PlainAnswer>> reply) {
    HttpCall request =
        new HttpCall(
            call.address(),
            call.method(),
            call.path(),
            call.headers(),
            call.body(),
            call.timeout(),
            maxAnswerBytes,
            held,
            call.use());
    Peer peer = new Peer(Peer.Kind.PLAIN_SERVICE, call.server().value());
    Future<?> exchange =
        transport.start(
            request, outcome -> reply.accept(json.answered(outcome, peer).flatMap(this::answer)));
    return () -> exchange.cancel(true);
  }

  private Result<PlainAnswer> answer(HttpOutcome.Answered answer) {
    return Result.success(new PlainAnswer(answer.status(), answer.headers(), answer.body()));
  }
}
