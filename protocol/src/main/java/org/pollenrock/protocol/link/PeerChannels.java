package org.pollenrock.protocol.link;

import io.netty.channel.Channel;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.pollenrock.protocol.generated.PeerFrame;

/** Channels that can send, by instance; safe for use by several event loops. */
final class PeerChannels {
  private final Map<String, Channel> byInstance = new ConcurrentHashMap<>();

  void add(PeerIdentity peer, Channel channel) {
    Channel former = byInstance.put(peer.instance(), channel);
    if (former != null) {
      former.close();
    }
  }

  boolean remove(PeerIdentity peer, Channel channel) {
    return byInstance.remove(peer.instance(), channel);
  }

  boolean send(String instance, PeerFrame frame) {
    Channel channel = byInstance.get(instance);
    if (channel == null || !channel.isWritable()) {
      return false;
    }
    channel.writeAndFlush(frame);
    return true;
  }

  Set<String> instances() {
    return Set.copyOf(byInstance.keySet());
  }
}
