package org.pollenrock.protocol.codec;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.pollenrock.protocol.generated.PeerFrame;

/** Converts between the bytes of a connection and {@link PeerFrame} messages. */
public final class PeerFrameCodec extends MessageToMessageCodec<ByteBuf, PeerFrame> {
  /** Largest frame in bytes; a longer one closes the connection. */
  public static final int MAX_FRAME_BYTES = 1 << 20;

  private static final int LENGTH_BYTES = 4;

  /**
   * Adds framing and this codec to a pipeline.
   *
   * @param pipeline the pipeline of a new connection
   */
  public static void addTo(ChannelPipeline pipeline) {
    pipeline
        .addLast(
            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
        .addLast(new PeerFrameCodec());
  }

  @Override
  protected void encode(ChannelHandlerContext context, PeerFrame frame, List<Object> out) {
    out.add(Unpooled.wrappedBuffer(frame.toByteArray()));
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out) {
    try (ByteBufInputStream input = new ByteBufInputStream(bytes)) {
      out.add(PeerFrame.parseFrom(input));
    } catch (InvalidProtocolBufferException e) {
      throw new CorruptedFrameException("frame is not a PeerFrame", e);
    } catch (IOException e) {
      throw new CorruptedFrameException("frame cannot be read", e);
    }
  }
}
