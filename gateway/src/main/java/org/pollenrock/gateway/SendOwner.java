package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.pollenrock.core.dispatch.SendFailure;

/** Receives the events of a send. */
interface SendOwner {
  /** Called when the head of a streamed response has arrived. */
  void streamStarted(ServerSend send, HttpResponse response);

  /** Called when bytes of the stream have arrived; the send releases them afterwards. */
  void streamBytesReceived(ServerSend send, ByteBuf bytes);

  /** Called when the stream has ended regularly. */
  void streamEnded(ServerSend send);

  /** Called when a complete response that is not a stream has arrived. */
  void responseReceived(ServerSend send, PlainResponse response);

  /** Returns whether the request could be sent to another server if this send failed. */
  boolean canResend();

  /** Returns whether the request has its final result, so that it is not sent again. */
  boolean isConcluded();

  /** Called when the send has failed, so that no complete response will arrive. */
  void sendFailed(ServerSend send, SendFailure failure, String cause);
}
