package org.pollenrock.gateway;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.pollenrock.core.response.BodyCheck;
import org.pollenrock.core.response.HeadCheck;

/**
 * Decodes responses, and withholds the part of a body that may be another response until the end of
 * its chunk or of the body is certain. All other parts are passed on as they arrive.
 *
 * <p>The end of a chunk is certain once its delimiter has arrived. A body with a length is whole
 * unless the bytes received together with its end show otherwise.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  /** Maximum size of the withheld part of a body. */
  private static final int MAX_WITHHELD_BYTES = EventSplitter.MAX_EVENT_BYTES;

  /** Length of the delimiter after a chunk. */
  private static final int DELIMITER_LENGTH = 2;

  private final List<HttpContent> withheld = new ArrayList<>();
  private BodyCheck bodyCheck = new BodyCheck("");

  /** Bytes before those with the first status line, in which it may have begun. */
  private String bytesBeforeStatusLine = "";

  private String requestId = "";
  private boolean headRequest;
  private Supplier<BodyUse> bodyUse = () -> BodyUse.COLLECTED;
  private boolean insideResponse;
  private boolean chunked;
  private boolean insideChunk;
  private boolean endWithheld;
  private boolean broken;
  private long withheldBytes;

  ResponseDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /**
   * Prepares for the response to a request.
   *
   * @param isHead whether the method is HEAD, so that the response has no body
   * @param id identifier that responses to the request carry; empty if none
   * @param use how the body is used, asked after the head was passed on
   */
  void expectResponse(boolean isHead, String id, Supplier<BodyUse> use) {
    headRequest = isHead;
    requestId = id;
    bodyUse = use;
  }

  /** Returns whether bytes were received after the end of the last response. */
  boolean hasBytesOfNextResponse() {
    return insideResponse || actualReadableBytes() > 0;
  }

  /** Returns the number of bytes of the body that have been received and are withheld. */
  long withheldBytes() {
    return withheldBytes;
  }

  /** Returns whether another response may have begun in the part of the body received so far. */
  boolean mayContainAnotherResponse() {
    return insideResponse && bodyCheck.isInDoubt();
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    if (!HeadCheck.isStatusCode(initialLine[1])) {
      throw new IllegalArgumentException("not a status code");
    }
    return super.createMessage(initialLine);
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    boolean informational =
        ((HttpResponse) message).status().codeClass() == HttpStatusClass.INFORMATIONAL;
    return headRequest && !informational || super.isContentAlwaysEmpty(message);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    if (endWithheld) {
      BodyCheck.Verdict verdict = bodyCheck.judge(firstBytes(in));
      if (verdict == BodyCheck.Verdict.UNDECIDED) {
        return;
      }
      concludeBody(context, verdict == BodyCheck.Verdict.WHOLE);
    }
    if (broken) {
      in.skipBytes(in.readableBytes());
      return;
    }
    int start = in.readerIndex();
    int sizeLineLength = chunked && !insideChunk ? lineLength(in) : 0;
    int first = out.size();
    super.decode(context, in, out);
    insideResponse |= in.readerIndex() > start;
    boolean wasChunked = chunked;
    long bodyBytes = 0;
    for (Object message : takeFrom(first, out)) {
      bodyBytes += message instanceof HttpContent content ? content.content().readableBytes() : 0;
      insideResponse &= !(message instanceof LastHttpContent);
      inspect(message, out);
    }
    if (wasChunked && chunked && !broken) {
      long framingBytes = in.readerIndex() - start - bodyBytes - sizeLineLength;
      trackChunk(sizeLineLength > 0, framingBytes == DELIMITER_LENGTH, out);
    }
  }

  @Override
  protected void decodeLast(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    super.decodeLast(context, in, out);
    boolean ended =
        !out.isEmpty()
            && out.get(out.size() - 1) instanceof LastHttpContent end
            && end.decoderResult().isSuccess();
    if (ended) {
      Object end = out.remove(out.size() - 1);
      if (bodyCheck.containsStatusLine() && isDoubtedAtEndOfConnection()) {
        fail("another response begins in the body", out);
        return;
      }
      release(out);
      out.add(end);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) throws Exception {
    if (endWithheld) {
      concludeBody(context, actualReadableBytes() == 0);
    }
    super.channelReadComplete(context);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) throws Exception {
    super.channelInactive(context);
    discard();
  }

  @Override
  protected void handlerRemoved0(ChannelHandlerContext context) throws Exception {
    discard();
    super.handlerRemoved0(context);
  }

  /** Returns whether a body that contains a status line may be that of two responses. */
  private boolean isDoubtedAtEndOfConnection() {
    return switch (bodyUse.get()) {
      case IGNORED -> true;
      case RELAYED -> EventHeads.contains(withheldText());
      case COLLECTED -> false;
    };
  }

  /** Returns the withheld bytes, after those in which their status line may have begun. */
  private String withheldText() {
    StringBuilder text = new StringBuilder(bytesBeforeStatusLine);
    withheld.forEach(content -> text.append(content.content().toString(ISO_8859_1)));
    return text.toString();
  }

  private static List<Object> takeFrom(int first, List<Object> out) {
    return switch (out.size() - first) {
      case 0 -> List.of();
      case 1 -> List.of(out.remove(first));
      default -> {
        List<Object> taken = new ArrayList<>(out.subList(first, out.size()));
        out.subList(first, out.size()).clear();
        yield taken;
      }
    };
  }

  private void inspect(Object message, List<Object> out) {
    if (message instanceof HttpResponse response) {
      bodyCheck = new BodyCheck(requestId);
      chunked = HttpUtil.isTransferEncodingChunked(response);
      insideChunk = false;
      out.add(response);
    } else if (message instanceof HttpContent content && content.decoderResult().isSuccess()) {
      inspectContent(content, out);
    } else {
      discard();
      broken = true;
      out.add(message);
    }
  }

  private void inspectContent(HttpContent content, List<Object> out) {
    boolean last = content instanceof LastHttpContent;
    check(content.content());
    if (bodyCheck.containsSecondHead()) {
      content.release();
      fail("another response begins in the body", out);
    } else if (last && (chunked || !bodyCheck.isInDoubt())) {
      release(out);
      out.add(content);
      chunked = false;
    } else if (last || bodyCheck.containsStatusLine() && bodyUse.get() == BodyUse.RELAYED) {
      withheldBytes += content.content().readableBytes();
      withheld.add(content);
      endWithheld = last;
      if (withheldBytes > MAX_WITHHELD_BYTES) {
        fail("no proof of its end in " + MAX_WITHHELD_BYTES + " bytes", out);
      }
    } else {
      out.add(content);
    }
  }

  private void check(ByteBuf bytes) {
    byte start = (byte) HeadCheck.STATUS_LINE_START;
    if (bodyCheck.needsAllBytes()
        || bytes.indexOf(bytes.readerIndex(), bytes.writerIndex(), start) >= 0) {
      if (!bodyCheck.containsStatusLine()) {
        bytesBeforeStatusLine = bodyCheck.lastBytes();
      }
      bodyCheck.add(bytes.toString(ISO_8859_1));
    }
  }

  /** Follows the framing of a chunked body, and releases what the end of a chunk proves. */
  private void trackChunk(boolean begins, boolean ends, List<Object> out) {
    if (ends) {
      insideChunk = false;
      bodyCheck = new BodyCheck(requestId);
      release(out);
    } else if (begins) {
      insideChunk = true;
    }
  }

  private void concludeBody(ChannelHandlerContext context, boolean whole) {
    endWithheld = false;
    List<Object> messages = new ArrayList<>();
    // A refusal stands for a request that did not run, so it gets no benefit of the doubt.
    if (whole && bodyUse.get() != BodyUse.IGNORED) {
      release(messages);
    } else {
      fail("another response begins in the body", messages);
    }
    messages.forEach(context::fireChannelRead);
  }

  private void fail(String cause, List<Object> out) {
    discard();
    broken = true;
    HttpContent failure = new DefaultLastHttpContent(Unpooled.EMPTY_BUFFER);
    failure.setDecoderResult(DecoderResult.failure(new MixedResponseException(cause)));
    out.add(failure);
  }

  private void release(List<Object> out) {
    out.addAll(withheld);
    withheld.clear();
    withheldBytes = 0;
  }

  private void discard() {
    withheld.forEach(HttpContent::release);
    withheld.clear();
    withheldBytes = 0;
    endWithheld = false;
  }

  /** Returns the length of the first line with its end; 0 if it is incomplete. */
  private static int lineLength(ByteBuf in) {
    int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
    return end < 0 ? 0 : end + 1 - in.readerIndex();
  }

  private static String firstBytes(ByteBuf in) {
    int length = Math.min(in.readableBytes(), BodyCheck.STATUS_LINE_LENGTH);
    return in.toString(in.readerIndex(), length, ISO_8859_1);
  }
}
