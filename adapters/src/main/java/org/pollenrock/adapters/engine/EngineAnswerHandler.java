package org.pollenrock.adapters.engine;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.Future;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.ResponseBodyControl;
import org.asynchttpclient.netty.request.NettyRequest;
import org.pollenrock.adapters.http.AnswerBuffer;
import org.pollenrock.adapters.http.HeldBytes;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Step;

/** Turns the HTTP events of one attempt into listener events, and suspends or cancels it. */
final class EngineAnswerHandler implements AsyncHandler<Void>, EngineExchange {
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;
  private static final int MAX_ERROR_BYTES = 16 * 1024;

  private final EngineRequest request;
  private final HttpEngineClient.Bounds bounds;
  private final EngineListener listener;
  private final Runnable postCancel;
  private final SseParser parser;
  private final AnswerBuffer body;

  private final Object lock = new Object();
  private Future<?> future;
  private ResponseBodyControl control;
  private boolean suspended;
  private boolean cancelled;
  private boolean ended;

  private volatile boolean sent;
  private int status;
  private EngineHead head;
  private String boundExceeded = "";

  EngineAnswerHandler(
      EngineRequest request,
      HttpEngineClient.Bounds bounds,
      HeldBytes held,
      EngineListener listener,
      Runnable postCancel) {
    this.request = request;
    this.bounds = bounds;
    this.body = new AnswerBuffer(held);
    this.listener = listener;
    this.postCancel = postCancel;
    this.parser = new SseParser(bounds.maxLineBytes(), bounds.maxEventBytes());
  }

  void started(Future<?> started) {
    boolean cancelNow;
    synchronized (lock) {
      future = started;
      cancelNow = cancelled;
    }
    if (cancelNow) {
      started.cancel(true);
    }
  }

  @Override
  public void suspend() {
    ResponseBodyControl current;
    synchronized (lock) {
      suspended = true;
      current = ended ? null : control;
    }
    if (current != null) {
      current.suspend();
    }
  }

  @Override
  public void resume() {
    ResponseBodyControl current;
    synchronized (lock) {
      suspended = false;
      current = ended ? null : control;
    }
    if (current != null) {
      current.resume();
    }
  }

  @Override
  public void cancel() {
    Future<?> current;
    synchronized (lock) {
      if (cancelled || ended) {
        return;
      }
      cancelled = true;
      current = future;
    }
    if (current != null) {
      current.cancel(true);
    }
    if (sent) {
      postCancel.run();
    }
  }

  @Override
  public void onRequestSend(NettyRequest nettyRequest) {
    sent = true;
  }

  @Override
  public State onStatusReceived(HttpResponseStatus responseStatus) {
    status = responseStatus.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    return readHead(headers);
  }

  @Override
  public State onResponseBodyStart(ResponseBodyControl bodyControl) {
    boolean suspendNow;
    synchronized (lock) {
      control = bodyControl;
      suspendNow = suspended;
    }
    if (suspendNow) {
      bodyControl.suspend();
    }
    return State.CONTINUE;
  }

  private State readHead(HttpHeaders headers) {
    head = EngineHead.of(status, headers);
    if (isCancelled()) {
      return State.ABORT;
    }
    if (status == OK) {
      listener.onHead(head);
    }
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    if (isCancelled()) {
      return State.ABORT;
    }
    byte[] bytes = part.getBodyPartBytes();
    if (status == OK && request.streamed()) {
      return readEvents(bytes);
    }
    int limit = status == OK ? bounds.maxBodyBytes() : MAX_ERROR_BYTES;
    boundExceeded = body.append(bytes, limit);
    return boundExceeded.isEmpty() ? State.CONTINUE : State.ABORT;
  }

  private State readEvents(byte[] bytes) {
    SseParser.Status parsed = parser.feed(bytes, this::passOn);
    if (parsed == SseParser.Status.OK) {
      return State.CONTINUE;
    }
    boundExceeded = "event stream: " + parsed;
    return State.ABORT;
  }

  private void passOn(SseEvent event) {
    if (!isCancelled()) {
      listener.onEvent(event);
    }
  }

  @Override
  public Void onCompleted() {
    byte[] received = body.take();
    if (!end()) {
      return null;
    }
    if (!boundExceeded.isEmpty()) {
      listener.onFailure(broken(boundExceeded));
      return null;
    }
    if (head == null) {
      listener.onFailure(broken("answer without headers"));
      return null;
    }
    if (status != OK) {
      listener.onFailure(refused(received));
      return null;
    }
    if (!request.streamed()) {
      listener.onBody(received);
    }
    listener.onEnd();
    return null;
  }

  @Override
  public void onThrowable(Throwable cause) {
    body.take();
    if (!end()) {
      return;
    }
    String reason = String.valueOf(cause.getMessage());
    listener.onFailure(sent ? broken(reason) : notSent(reason));
  }

  private boolean isCancelled() {
    synchronized (lock) {
      return cancelled;
    }
  }

  /** Marks the end once and tells whether the listener is to hear of it. */
  private boolean end() {
    synchronized (lock) {
      boolean first = !ended && !cancelled;
      ended = true;
      return first;
    }
  }

  private EngineFailure refused(byte[] received) {
    if (status == CONFLICT) {
      return new EngineFailure.IdentityDiffers(head);
    }
    if (status == UNAVAILABLE && head.leaving()) {
      return new EngineFailure.Leaving(head);
    }
    return new EngineFailure.Rejected(head, new String(received, StandardCharsets.UTF_8));
  }

  private EngineFailure notSent(String reason) {
    return new EngineFailure.NotSent(
        new RequestError.Refusal(
            ErrorCode.SERVER_FAILED, Step.SEND, Optional.of(request.engine().peer()), reason));
  }

  private EngineFailure broken(String reason) {
    return new EngineFailure.Broken(
        new RequestError.Uncertain(
            ErrorCode.SERVER_FAILED, Step.RELAY, Optional.of(request.engine().peer()), reason));
  }
}
