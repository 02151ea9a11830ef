package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.CharsetUtil;

/**
 * Encodes requests to servers. The target is sent with the bytes with which it was received, which
 * the decoder reads as Latin-1; the base class would send their UTF-8, and add a path to a target
 * that names a host only.
 */
final class ServerRequestEncoder extends HttpRequestEncoder {
  @Override
  protected void encodeInitialLine(ByteBuf out, HttpRequest request) {
    ByteBufUtil.copy(request.method().asciiName(), out);
    out.writeByte(HttpConstants.SP);
    out.writeCharSequence(request.uri(), CharsetUtil.ISO_8859_1);
    out.writeByte(HttpConstants.SP);
    out.writeCharSequence(request.protocolVersion().text(), CharsetUtil.US_ASCII);
    out.writeByte(HttpConstants.CR);
    out.writeByte(HttpConstants.LF);
  }
}
