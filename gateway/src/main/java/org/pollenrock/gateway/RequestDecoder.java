package org.pollenrock.gateway;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with both a content length and a transfer coding, which could
 * smuggle another request.
 */
final class RequestDecoder extends HttpRequestDecoder {
  private static final int MAX_CHUNK_BYTES = 65_536;

  RequestDecoder(int maxHeaderBytes) {
    super(
        new HttpDecoderConfig()
            .setMaxInitialLineLength(maxHeaderBytes)
            .setMaxHeaderSize(maxHeaderBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES));
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    message.setDecoderResult(
        DecoderResult.failure(
            new IllegalArgumentException(
                "request has both Content-Length and Transfer-Encoding: chunked")));
  }
}
