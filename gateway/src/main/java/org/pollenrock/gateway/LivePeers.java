package org.pollenrock.gateway;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.model.InstanceId;

/** The other instances, and which of them have sent gossip recently. */
final class LivePeers {
  /** Time without a datagram of a peer after which it no longer takes part in shared work. */
  private static final long PEER_SILENCE_NANOS = 4_000_000_000L;

  /** Another instance and the time of its last datagram. */
  private record LivePeer(String dataCentre, long heardNanos) {
    private boolean isLive(long nowNanos) {
      return nowNanos - heardNanos <= PEER_SILENCE_NANOS;
    }
  }

  private final InetSocketAddress ownAddress;
  private final String ownDataCentre;
  private final Map<InetAddress, LivePeer> peers = new HashMap<>();

  private boolean known;

  LivePeers(InetSocketAddress ownAddress, String ownDataCentre) {
    this.ownAddress = ownAddress;
    this.ownDataCentre = ownDataCentre;
  }

  /** Replaces the instances; this instance itself is ignored, and new ones count as heard now. */
  void replace(List<Peer> instances, long nowNanos) {
    Map<InetAddress, LivePeer> before = Map.copyOf(peers);
    known = true;
    peers.clear();
    for (Peer peer : instances) {
      if (!peer.address().equals(ownAddress)) {
        InetAddress peerAddress = peer.address().getAddress();
        LivePeer previous = before.get(peerAddress);
        peers.put(
            peerAddress,
            new LivePeer(peer.dataCentre(), previous == null ? nowNanos : previous.heardNanos()));
      }
    }
  }

  /** Returns whether the list of instances has been read. */
  boolean isKnown() {
    return known;
  }

  /** Records a datagram; returns false if the sender is none of the instances. */
  boolean recordDatagram(InetAddress sender, long nowNanos) {
    return peers.computeIfPresent(
            sender, (address, peer) -> new LivePeer(peer.dataCentre(), nowNanos))
        != null;
  }

  /** Returns the instances that have sent gossip recently, including this instance. */
  List<InstanceId> liveInstances(long nowNanos) {
    List<InstanceId> live = new ArrayList<>();
    live.add(ownId());
    peers.forEach(
        (peer, state) -> {
          if (state.isLive(nowNanos)) {
            live.add(Peer.id(peer));
          }
        });
    return live;
  }

  /**
   * Returns those of a data centre that have sent gossip recently, including this instance; if
   * there are none, those of all data centres.
   */
  List<InstanceId> liveInstances(String preferredDataCentre, long nowNanos) {
    List<InstanceId> preferred = new ArrayList<>();
    if (preferredDataCentre.equals(ownDataCentre)) {
      preferred.add(ownId());
    }
    peers.forEach(
        (peer, state) -> {
          if (state.isLive(nowNanos) && state.dataCentre().equals(preferredDataCentre)) {
            preferred.add(Peer.id(peer));
          }
        });
    return preferred.isEmpty() ? liveInstances(nowNanos) : preferred;
  }

  /** Returns the identity of this instance. */
  InstanceId ownId() {
    return Peer.id(ownAddress.getAddress());
  }
}
