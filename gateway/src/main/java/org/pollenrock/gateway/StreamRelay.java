package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Relays the events of a stream to the caller, from one server or, after failures, from several in
 * turn.
 *
 * <p>The head of the response is sent with the first complete event, so that a failure before that
 * can still be reported with an error status. If another server continues the stream, the caller
 * has the head of the first server that an event was relayed from.
 */
final class StreamRelay {
  private final CallerResponse response;
  private final EventSplitter splitter;
  private HttpResponseStatus status;
  private HttpHeaders headers;
  private boolean started;

  StreamRelay(
      CallerResponse response,
      ByteBufAllocator allocator,
      BodyMemory memory,
      OptionalLong lastEventNumber) {
    this.response = response;
    this.splitter = new EventSplitter(allocator, memory, lastEventNumber);
  }

  /** Returns whether a response can begin the stream or continue the one that has begun. */
  boolean accepts(HttpResponse serverResponse) {
    return !started
        || status.equals(serverResponse.status())
            && Objects.equals(
                headers.get(HttpHeaderNames.CONTENT_TYPE),
                serverResponse.headers().get(HttpHeaderNames.CONTENT_TYPE));
  }

  /**
   * Begins to relay the stream of a server, and discards a partial event of the server before it.
   */
  void begin(HttpResponse serverResponse) {
    splitter.discardPartialEvent();
    if (!started) {
      status = serverResponse.status();
      headers = serverResponse.headers();
    }
  }

  /**
   * Relays the events that bytes of the stream complete.
   *
   * @return false when the caller reads too slowly, so that more bytes would be buffered
   */
  boolean relay(ByteBuf bytes) {
    Optional<ByteBuf> events = splitter.push(bytes);
    if (events.isEmpty()) {
      return true;
    }
    start();
    return response.write(events.get());
  }

  /** Returns whether the bytes received so far end inside an event, or are no event stream. */
  boolean endsInsideEvent() {
    return splitter.hasPartialEvent();
  }

  /** Returns whether an event exceeds the maximum size. */
  boolean isEventTooLong() {
    return splitter.isEventTooLong();
  }

  /** Returns whether no memory was left for bytes of the stream, so that they are lost. */
  boolean lacksMemory() {
    return splitter.lacksMemory();
  }

  /** Ends the response to the caller. */
  void end() {
    start();
    response.end();
  }

  /** Returns whether the head of the response was sent. */
  boolean started() {
    return started;
  }

  /** Returns the number of the last relayed event; empty if no event had one. */
  OptionalLong lastEventNumber() {
    return splitter.lastEventNumber();
  }

  /** Returns the number of relayed events. */
  long eventCount() {
    return splitter.eventCount();
  }

  /** Releases the buffered bytes. */
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
