package org.pollenrock.protocol.link;

import org.pollenrock.protocol.generated.PeerFrame;

/** What happened on the links, in the order of one link. */
public sealed interface PeerEvent {
  /**
   * The peer at the other end.
   *
   * @return its identity
   */
  PeerIdentity peer();

  /**
   * A link that this router opened can send.
   *
   * @param peer the peer
   */
  record LinkUp(PeerIdentity peer) implements PeerEvent {}

  /**
   * A link that this router opened closed or went silent.
   *
   * @param peer the peer
   */
  record LinkDown(PeerIdentity peer) implements PeerEvent {}

  /**
   * A message arrived.
   *
   * @param peer the sender
   * @param frame the message
   */
  record Received(PeerIdentity peer, PeerFrame frame) implements PeerEvent {}
}
