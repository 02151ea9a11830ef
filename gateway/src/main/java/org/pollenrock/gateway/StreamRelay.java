package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Passes the events of one stream on to the caller, from one server or from several in turn.
 *
 * <p>The head goes out with the first whole event, so that until then a failure can still be
 * answered as one. It stays that of the first server when another one goes on.
 */
final class StreamRelay {
  private final CallerResponse response;
  private final EventSplitter splitter;
  private HttpResponseStatus status;
  private HttpHeaders headers;
  private boolean started;

  StreamRelay(CallerResponse response, ByteBufAllocator allocator, OptionalLong lastEvent) {
    this.response = response;
    this.splitter = new EventSplitter(allocator, lastEvent);
  }

  /** A server's stream begins. */
  void begin(HttpResponse answer) {
    splitter.discardPartialEvent();
    if (!started) {
      status = answer.status();
      headers = answer.headers();
    }
  }

  /**
   * Takes bytes of the stream.
   *
   * @return whether the caller keeps up
   */
  boolean relay(ByteBuf bytes) {
    Optional<ByteBuf> whole = splitter.push(bytes);
    if (whole.isEmpty()) {
      return true;
    }
    start();
    return response.write(whole.get());
  }

  /** Whether what the server sent ends in the middle of an event, or is no event stream. */
  boolean endsInsideEvent() {
    return splitter.hasPartialEvent();
  }

  boolean isEventTooLong() {
    return splitter.isEventTooLong();
  }

  /** Ends the answer. */
  void end() {
    start();
    response.end();
  }

  boolean started() {
    return started;
  }

  OptionalLong lastEventNumber() {
    return splitter.lastEventNumber();
  }

  long eventCount() {
    return splitter.eventCount();
  }

  void release() {
    splitter.release();
  }

  private void start() {
    if (!started) {
      started = true;
      response.begin(status, headers);
    }
  }
}
