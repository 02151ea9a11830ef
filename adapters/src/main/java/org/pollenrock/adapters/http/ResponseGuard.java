package org.pollenrock.adapters.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.pollenrock.core.response.HeadCheck;
import org.pollenrock.core.response.HeadFault;

/**
 * Passes on a response only if it is one whole response to the request on the connection.
 *
 * <p>The decoder accepts a head into which another response was written, and a body that holds one.
 * Such a response fails the exchange and closes the connection. The end of a response is passed on
 * when all received bytes were decoded, so that bytes behind it are seen first.
 */
final class ResponseGuard extends ChannelDuplexHandler {
  static final String ATTEMPT_ID = "X-Attempt-Id";

  private static final Logger LOG = LogManager.getLogger(ResponseGuard.class);
  private static final String CODEC = "http";
  private static final HeadCheck HEADS =
      new HeadCheck(
          List.of(
              "x-attempt-id",
              "x-incarnation",
              "x-weights-version",
              "x-cached-tokens",
              "x-prompt-tokens",
              "x-queue-tokens",
              "x-server-state"));

  private EmbeddedResponseScanner scanner = new EmbeddedResponseScanner(ATTEMPT_ID, "");
  private Phase phase = Phase.IDLE;
  private LastHttpContent end;

  private enum Phase {
    IDLE,
    /** A request was written; its final response has not begun. */
    HEAD,
    /** An informational response was read, but not its end. */
    INTERIM,
    BODY,
    CLOSED
  }

  /** Adds a guard behind the decoder of a new connection. */
  static void addTo(Channel channel) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addAfter(CODEC, "response-guard", new ResponseGuard());
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request && phase != Phase.CLOSED) {
      phase = Phase.HEAD;
      scanner = new EmbeddedResponseScanner(ATTEMPT_ID, request.headers().get(ATTEMPT_ID, ""));
    }
    context.write(message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof HttpObject object)) {
      context.fireChannelRead(message);
      return;
    }
    Optional<String> fault = phase == Phase.CLOSED ? Optional.empty() : fault(object);
    if (fault.isPresent()) {
      ReferenceCountUtil.release(object);
      fail(context, fault.get());
    } else if (phase == Phase.CLOSED || isInterim(object)) {
      ReferenceCountUtil.release(object);
    } else if (object instanceof LastHttpContent last) {
      end = last;
    } else {
      context.fireChannelRead(object);
    }
  }

  private boolean isInterim(HttpObject object) {
    if (phase != Phase.INTERIM) {
      return false;
    }
    if (object instanceof LastHttpContent) {
      phase = Phase.HEAD;
    }
    return true;
  }

  private Optional<String> fault(HttpObject object) {
    if (object.decoderResult().isFailure()) {
      return Optional.of(String.valueOf(object.decoderResult().cause().getMessage()));
    }
    if (phase == Phase.IDLE || end != null) {
      return Optional.of("bytes behind the response");
    }
    if (object instanceof HttpResponse response) {
      return headFault(response);
    }
    if (object instanceof HttpContent content && phase == Phase.BODY) {
      return bodyFault(content);
    }
    return Optional.empty();
  }

  private Optional<String> headFault(HttpResponse response) {
    if (!response.protocolVersion().protocolName().equals("HTTP")) {
      return Optional.of("not an HTTP response");
    }
    Optional<HeadFault> fault =
        HEADS.find(
            response.status().code(),
            response.status().reasonPhrase(),
            response.headers().iteratorCharSequence());
    if (fault.isPresent()) {
      return fault.map(found -> "head: " + found);
    }
    boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    phase = interim ? Phase.INTERIM : Phase.BODY;
    return Optional.empty();
  }

  private Optional<String> bodyFault(HttpContent content) {
    if (scanner.isFoundIn(content.content())) {
      return Optional.of("another response in the body");
    }
    if (content instanceof LastHttpContent last) {
      return HEADS
          .findInFields(last.trailingHeaders().iteratorCharSequence())
          .map(found -> "trailer: " + found);
    }
    return Optional.empty();
  }

  private void fail(ChannelHandlerContext context, String reason) {
    LOG.warn("response of {} refused: {}", context.channel().remoteAddress(), reason);
    boolean exchange = phase != Phase.IDLE;
    phase = Phase.CLOSED;
    ReferenceCountUtil.release(end);
    end = null;
    if (exchange) {
      DefaultLastHttpContent failed = new DefaultLastHttpContent();
      failed.setDecoderResult(DecoderResult.failure(new MixedResponseException(reason)));
      context.fireChannelRead(failed);
    }
    context.close();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    passEnd(context);
    context.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    passEnd(context);
    context.fireChannelInactive();
  }

  private void passEnd(ChannelHandlerContext context) {
    if (end != null) {
      LastHttpContent passed = end;
      end = null;
      phase = Phase.IDLE;
      context.fireChannelRead(passed);
    }
  }
}
