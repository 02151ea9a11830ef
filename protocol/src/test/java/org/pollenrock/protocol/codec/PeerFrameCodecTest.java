package org.pollenrock.protocol.codec;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.pollenrock.protocol.generated.Heartbeat;
import org.pollenrock.protocol.generated.PeerFrame;

/** Guards against a peer that can harm a router by the bytes it sends. */
class PeerFrameCodecTest {
  private static EmbeddedChannel channel() {
    EmbeddedChannel channel = new EmbeddedChannel();
    PeerFrameCodec.addTo(channel.pipeline());
    return channel;
  }

  @Test
  void frameSurvivesAnyCutOfTheBytes() {
    PeerFrame frame =
        PeerFrame.newBuilder().setHeartbeat(Heartbeat.newBuilder().setSequence(9)).build();
    EmbeddedChannel sender = channel();
    sender.writeOutbound(frame);
    ByteBuf bytes = Unpooled.buffer();
    for (ByteBuf part = sender.readOutbound(); part != null; part = sender.readOutbound()) {
      bytes.writeBytes(part);
      part.release();
    }
    EmbeddedChannel receiver = channel();

    while (bytes.isReadable()) {
      receiver.writeInbound(bytes.readBytes(1));
    }

    assertThat(receiver.<PeerFrame>readInbound()).isEqualTo(frame);
  }

  @Property(seed = "4711", tries = 5_000, shrinking = ShrinkingMode.FULL)
  void arbitraryBytesGiveAFrameOrADecoderException(@ForAll long seed, @ForAll boolean framed) {
    byte[] noise = new byte[new Random(seed).nextInt(200)];
    new Random(seed + 1).nextBytes(noise);
    EmbeddedChannel receiver = channel();
    ByteBuf bytes = Unpooled.buffer();
    if (framed) {
      bytes.writeInt(noise.length);
    }
    bytes.writeBytes(noise);

    boolean refused = false;
    try {
      receiver.writeInbound(bytes);
    } catch (DecoderException e) {
      refused = true;
    }

    Object message = receiver.readInbound();
    assertThat(message == null || message instanceof PeerFrame).isTrue();
    assertThat(refused && message != null).isFalse();
    receiver.finishAndReleaseAll();
  }

  @Test
  void frameOverTheBoundIsRefusedBeforeItIsBuffered() {
    EmbeddedChannel receiver = channel();
    ByteBuf header = Unpooled.buffer().writeInt(PeerFrameCodec.MAX_FRAME_BYTES + 1);

    boolean refused = false;
    try {
      receiver.writeInbound(header);
    } catch (DecoderException e) {
      refused = true;
    }

    assertThat(refused).isTrue();
  }
}
