package org.pollenrock.adapters.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
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
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private HttpHeaders headers = new DefaultHttpHeaders();
  private int status;
  private volatile boolean sent;
  private boolean tooLarge;

  WholeAnswerHandler(int maxBytes, Consumer<HttpOutcome> done) {
    this.maxBytes = maxBytes;
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
    if (body.size() + part.length() > maxBytes) {
      tooLarge = true;
      return State.ABORT;
    }
    body.writeBytes(part.getBodyPartBytes());
    return State.CONTINUE;
  }

  @Override
  public void onThrowable(Throwable cause) {
    String reason = String.valueOf(cause.getMessage());
    done.accept(
        sent
            ? new HttpOutcome.Broken(reason, cause instanceof TimeoutException)
            : new HttpOutcome.NotSent(reason));
  }

  @Override
  public Void onCompleted() {
    if (tooLarge) {
      done.accept(new HttpOutcome.Broken("answer exceeds " + maxBytes + " bytes", false));
      return null;
    }
    done.accept(new HttpOutcome.Answered(status, headers, body.toByteArray()));
    return null;
  }
}
