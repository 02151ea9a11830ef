package org.pollenrock.router.caller;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;

/** Where the response to one request goes; confined to the event loop of its connection. */
public interface ResponseSink {
  /**
   * Event loop of the connection.
   *
   * @return the loop on which every method is called
   */
  EventLoop loop();

  /**
   * Sets who hears of changes of the connection while the response is open.
   *
   * @param listener the listener
   */
  void listener(ResponseListener listener);

  /**
   * Sends a whole response.
   *
   * @param status HTTP status
   * @param headers headers without framing headers
   * @param body the body
   */
  void sendWhole(int status, HttpHeaders headers, byte[] body);

  /**
   * Starts a streamed response.
   *
   * @param status HTTP status
   * @param headers headers without framing headers
   */
  void startStream(int status, HttpHeaders headers);

  /**
   * Sends the next part of a streamed response.
   *
   * @param bytes the part
   */
  void sendPart(byte[] bytes);

  /** Ends a streamed response. */
  void endStream();

  /**
   * Whether the connection takes more without exceeding its memory bound.
   *
   * @return false while the caller reads too slowly
   */
  boolean writable();
}
