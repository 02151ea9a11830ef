package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.pollenrock.core.dispatch.Selection;
import org.pollenrock.core.dispatch.SendFailure;

/** Receives the events of a send. */
interface SendOwner {
  /**
   * Returns whether a successful response can be relayed as a stream: always, unless a stream has
   * begun, which only a response of the same status and type can continue.
   */
  boolean acceptsStream(HttpResponse response);

  /** Called when the head of a streamed response has arrived. */
  void streamStarted(ServerSend send, HttpResponse response);

  /** Called when bytes of the stream have arrived; the send releases them afterwards. */
  void streamBytesReceived(ServerSend send, ByteBuf bytes);

  /** Called when the stream has ended regularly. */
  void streamEnded(ServerSend send);

  /** Called when a complete response that is not a stream has arrived. */
  void responseReceived(ServerSend send, PlainResponse response);

  /**
   * Claims another server for the request, which is charged for the resend, before a send is given
   * up whose server may yet respond.
   *
   * @return the server, to which {@link #replaceSend} must send the request; empty if the request
   *     can't be sent elsewhere now, so that the send has to go on
   */
  Optional<Selection.Chosen> claimReplacement(ServerSend send);

  /** Called when the send was given up; sends the request to the claimed server. */
  void replaceSend(ServerSend send, Selection.Chosen replacement, String cause);

  /** Returns whether the request has its final result, so that it is not sent again. */
  boolean isConcluded();

  /** Called when the send has failed, so that no complete response will arrive. */
  void sendFailed(ServerSend send, SendFailure failure, String cause);
}
