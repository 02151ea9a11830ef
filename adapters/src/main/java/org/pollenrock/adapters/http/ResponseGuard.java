package org.pollenrock.adapters.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.pollenrock.core.dispatch.ConnectionReuse;
import org.pollenrock.core.response.BodyCheck;
import org.pollenrock.core.response.HeadCheck;
import org.pollenrock.core.response.HeadFault;

/**
 * Passes on a response only if it is one whole response to the request on the connection.
 *
 * <p>The decoder accepts a head into which another response was written, and a body that holds one.
 * Such a response fails the exchange and closes the connection. The end of a response is passed on
 * when all received bytes were decoded, so that bytes behind it are seen first. If they are not yet
 * a message, the response is passed on as the last one on its connection.
 *
 * <p>A connection carries another request only after a response that names its request. Requests
 * without an identifier receive one for this purpose.
 */
final class ResponseGuard extends ChannelDuplexHandler {
  private static final String ATTEMPT_ID = "X-Attempt-Id";
  private static final AttributeKey<Boolean> REUSABLE =
      AttributeKey.valueOf(ResponseGuard.class, "reusable");

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

  private final Supplier<String> requestIds;
  private final AnswerDecoder decoder;
  private String requestId = "";
  private BodyCheck bodyCheck = new BodyCheck("");
  private Phase phase = Phase.IDLE;
  private boolean chunked;
  private LastHttpContent end;

  /** Whether bytes were received behind the end of the response. */
  private boolean hasBytesBehindEnd;

  private enum Phase {
    IDLE,
    /** A request was written; its final response has not begun. */
    HEAD,
    /** An informational response was read, but not its end. */
    INTERIM,
    BODY,
    CLOSED
  }

  private ResponseGuard(AnswerDecoder decoder, Supplier<String> requestIds) {
    this.decoder = decoder;
    this.requestIds = requestIds;
  }

  /**
   * Replaces the codec of a new connection by one with a guard behind it.
   *
   * @param channel the connection
   * @param config limits of heads and chunks
   * @param requestIds makes identifiers for requests that have none
   */
  static void addTo(Channel channel, HttpDecoderConfig config, Supplier<String> requestIds) {
    AnswerDecoder decoder = new AnswerDecoder(config);
    ResponseGuard guard = new ResponseGuard(decoder, requestIds);
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.replace(
        CODEC, CODEC, new CombinedChannelDuplexHandler<>(decoder, new HttpRequestEncoder()));
    pipeline.addBefore(CODEC, "idle-guard", guard.new IdleGuard());
    pipeline.addAfter(CODEC, "response-guard", guard);
    pipeline.addAfter("response-guard", "request-gate", new RequestGate());
  }

  /**
   * Returns whether the connection may carry another request.
   *
   * @param channel the connection
   * @return false if a copy of its last response could be mistaken for the next one
   */
  static boolean isReusable(Channel channel) {
    return Boolean.TRUE.equals(channel.attr(REUSABLE).get());
  }

  /** Closes an idle connection on which bytes arrive, before the decoder takes them. */
  private final class IdleGuard extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (phase == Phase.IDLE) {
        ReferenceCountUtil.release(message);
        fail(context, "bytes without a request");
      } else if (phase == Phase.CLOSED) {
        ReferenceCountUtil.release(message);
      } else {
        hasBytesBehindEnd |= end != null;
        context.fireChannelRead(message);
      }
    }
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (message instanceof HttpRequest request && phase != Phase.CLOSED) {
      begin(context, request);
    }
    context.write(message, promise);
  }

  private void begin(ChannelHandlerContext context, HttpRequest request) {
    phase = Phase.HEAD;
    decoder.expectAnswerTo(request.method());
    if (!request.headers().contains(ATTEMPT_ID)) {
      request.headers().set(ATTEMPT_ID, requestIds.get());
    }
    requestId = request.headers().get(ATTEMPT_ID);
    bodyCheck = new BodyCheck(requestId);
    context.channel().attr(REUSABLE).set(false);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof HttpObject object)) {
      context.fireChannelRead(message);
      return;
    }
    Optional<String> fault = phase == Phase.CLOSED ? Optional.empty() : fault(context, object);
    if (fault.isPresent()) {
      ReferenceCountUtil.release(object);
      fail(context, fault.get());
    } else if (phase == Phase.CLOSED || isInterim(object)) {
      ReferenceCountUtil.release(object);
    } else if (object instanceof LastHttpContent last) {
      end = last;
      hasBytesBehindEnd = decoder.hasFurtherBytes();
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

  private Optional<String> fault(ChannelHandlerContext context, HttpObject object) {
    if (object.decoderResult().isFailure()) {
      return Optional.of(String.valueOf(object.decoderResult().cause().getMessage()));
    }
    if (phase == Phase.IDLE || end != null) {
      return Optional.of("bytes behind the response");
    }
    if (object instanceof HttpResponse response) {
      return headFault(context, response);
    }
    if (object instanceof HttpContent content && phase == Phase.BODY) {
      return bodyFault(content);
    }
    return Optional.empty();
  }

  private Optional<String> headFault(ChannelHandlerContext context, HttpResponse response) {
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
    String named = response.headers().get(ATTEMPT_ID);
    if (named != null && !named.equals(requestId)) {
      return Optional.of("names the request " + named);
    }
    // An identifier is that of one send, so no later response on the connection names it; a
    // response to another request has failed this one.
    boolean reusable = ConnectionReuse.isAllowed(named != null, true, false);
    context.channel().attr(REUSABLE).set(reusable);
    boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    phase = interim ? Phase.INTERIM : Phase.BODY;
    chunked = HttpUtil.isTransferEncodingChunked(response);
    return Optional.empty();
  }

  private Optional<String> bodyFault(HttpContent content) {
    ByteBuf bytes = content.content();
    byte start = (byte) HeadCheck.STATUS_LINE_START;
    if (bodyCheck.needsAllBytes()
        || bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), start) >= 0) {
      bodyCheck.add(bytes.toString(StandardCharsets.ISO_8859_1));
    }
    if (bodyCheck.containsSecondHead()) {
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

  /** Fails the exchange after a reset: the decoder would take the part received for the whole. */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (phase == Phase.IDLE || phase == Phase.CLOSED) {
      context.fireExceptionCaught(cause);
    } else {
      fail(context, String.valueOf(cause.getMessage()));
    }
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
    if (end == null) {
      return;
    }
    if (hasBytesBehindEnd && isFilledUp()) {
      fail(context, "another response begins in the body");
      return;
    }
    LastHttpContent passed = end;
    end = null;
    if (hasBytesBehindEnd) {
      passAsLast(context, passed);
    } else {
      phase = Phase.IDLE;
      context.fireChannelRead(passed);
    }
  }

  /** Returns whether the body may have its length only with the first bytes of another response. */
  private boolean isFilledUp() {
    return !chunked && bodyCheck.judge(decoder.furtherBytes()) != BodyCheck.Verdict.WHOLE;
  }

  private void passAsLast(ChannelHandlerContext context, LastHttpContent passed) {
    LOG.warn("connection to {} closed: bytes behind a response", context.channel().remoteAddress());
    phase = Phase.CLOSED;
    context.channel().attr(REUSABLE).set(false);
    context.fireChannelRead(passed);
    context.close();
  }
}
