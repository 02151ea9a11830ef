package org.pollenrock.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import java.util.function.Function;

/** Small HTTP server that answers requests of load balancers and operators with pages. */
final class PageListener {
  private static final int MAX_REQUEST_BYTES = 8192;

  private final EventLoop loop;
  private final InetSocketAddress address;
  private final Function<String, Page> pages;
  private Channel channel;

  PageListener(EventLoop loop, InetSocketAddress address, Function<String, Page> pages) {
    this.loop = loop;
    this.address = address;
    this.pages = pages;
  }

  /** Binds the address and starts to serve. */
  void start() throws InterruptedException {
    channel = ListenSocket.bind(loop, address, NetUtil.SOMAXCONN, this::initPipeline);
  }

  /** Closes the listening socket. */
  void stop() {
    channel.close();
  }

  private void initPipeline(Channel child) {
    child
        .pipeline()
        .addLast(new HttpServerCodec())
        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
        .addLast(new Handler());
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      Page page =
          request.decoderResult().isFailure() ? Page.empty(400) : pages.apply(request.uri());
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(page.status()),
              Unpooled.wrappedBuffer(page.body()));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, page.body().length);
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(response, keepAlive);
      if (keepAlive) {
        context.writeAndFlush(response);
      } else {
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // The client reset its connection; load balancers and operators repeat their requests.
      context.close();
    }
  }
}
