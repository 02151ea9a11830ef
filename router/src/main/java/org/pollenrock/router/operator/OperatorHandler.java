package org.pollenrock.router.operator;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** Answers one operator request at a time. */
final class OperatorHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  private final OperatorPages pages;

  OperatorHandler(OperatorPages pages) {
    this.pages = pages;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
    boolean readable = request.decoderResult().isSuccess();
    if (!readable || !request.method().equals(HttpMethod.GET)) {
      int status = readable ? 405 : 400;
      answer(ctx, false, OperatorPage.text(status, "only GET is answered\n"));
      return;
    }
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    ctx.channel().config().setAutoRead(false);
    pages.page(request.uri(), page -> ctx.executor().execute(() -> answer(ctx, keepAlive, page)));
  }

  private static void answer(ChannelHandlerContext ctx, boolean keepAlive, OperatorPage page) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(page.status()),
            Unpooled.wrappedBuffer(page.body()));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, page.contentType())
        .set(HttpHeaderNames.CONTENT_LENGTH, page.body().length)
        .set(
            HttpHeaderNames.CONNECTION,
            keepAlive ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
    var written = ctx.writeAndFlush(response);
    if (keepAlive) {
      ctx.channel().config().setAutoRead(true);
    } else {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
