package org.pollenrock.adapters.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.netty.request.NettyRequest;

/** Collects one answer within a bound and reports how the exchange ended. */
final class WholeAnswerHandler implements AsyncHandler<Void> {
  private final int maxBytes;
  private final Consumer<HttpOutcome> done;
  private final AnswerBuffer body;
  private HttpHeaders headers = new DefaultHttpHeaders();
  private int status;
  private volatile boolean sent;
  private String boundExceeded = "";

  WholeAnswerHandler(int maxBytes, HeldBytes held, Consumer<HttpOutcome> done) {
    this.maxBytes = maxBytes;
    this.body = new AnswerBuffer(held);
    this.done = done;
  }

  @Override
  public void onRequestSend(NettyRequest request) {
    sent = true;
  }

  @Override
  public State onStatusReceived(HttpResponseStatus responseStatus) {
    status = responseStatus.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders responseHeaders) {
    headers = responseHeaders;
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    boundExceeded = body.append(part.getBodyPartBytes(), maxBytes);
    return boundExceeded.isEmpty() ? State.CONTINUE : State.ABORT;
  }

  @Override
  public void onThrowable(Throwable cause) {
    String reason = String.valueOf(cause.getMessage());
    end(
        sent
            ? new HttpOutcome.Broken(reason, cause instanceof TimeoutException)
            : new HttpOutcome.NotSent(reason));
  }

  @Override
  public Void onCompleted() {
    end(
        boundExceeded.isEmpty()
            ? new HttpOutcome.Answered(status, headers, body.take())
            : new HttpOutcome.Broken(boundExceeded, false));
    return null;
  }

  private void end(HttpOutcome outcome) {
    body.take();
    done.accept(outcome);
  }
}
