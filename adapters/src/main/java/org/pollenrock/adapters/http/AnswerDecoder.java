package org.pollenrock.adapters.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.nio.charset.StandardCharsets;
import org.pollenrock.core.response.BodyCheck;
import org.pollenrock.core.response.HeadCheck;

/**
 * Decodes the responses on one connection, and tells whether bytes stand behind the end of one.
 *
 * <p>The decoder keeps bytes that are not yet a whole head, and drops line ends before a head.
 * Neither becomes a message that a handler behind it could notice.
 */
final class AnswerDecoder extends HttpResponseDecoder {
  private boolean isHead;

  AnswerDecoder(HttpDecoderConfig config) {
    super(config);
  }

  /** Prepares for the response to a request. */
  void expectAnswerTo(HttpMethod method) {
    isHead = method.equals(HttpMethod.HEAD);
  }

  /**
   * Returns whether received bytes are not decoded yet. While a message is passed on, these are the
   * bytes behind it.
   */
  boolean hasFurtherBytes() {
    return actualReadableBytes() > 0;
  }

  /** Returns the first of the bytes that are not decoded yet, as far as a verdict needs them. */
  String furtherBytes() {
    ByteBuf bytes = internalBuffer();
    int length = Math.min(bytes.readableBytes(), BodyCheck.STATUS_LINE_LENGTH);
    return bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
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
    boolean interim =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    return isHead && !interim || super.isContentAlwaysEmpty(message);
  }
}
