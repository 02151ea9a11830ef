package org.pollenrock.core.membership;

import java.util.List;
import java.util.Objects;
import org.pollenrock.core.model.InstanceId;

/**
 * What a router tells its peers about servers.
 *
 * @param from the sender
 * @param digests what the servers said, with the time since then
 */
public record ServerStatesMessage(InstanceId from, List<ServerEvidence.PeerDigest> digests) {
  /** Most digests in one message, so that a frame stays under its bound. */
  public static final int MAX_DIGESTS = 4096;

  /**
   * Copies the digests.
   *
   * @throws IllegalArgumentException when there are too many
   */
  public ServerStatesMessage {
    Objects.requireNonNull(from, "from");
    digests = List.copyOf(digests);
    if (digests.size() > MAX_DIGESTS) {
      throw new IllegalArgumentException("too many digests");
    }
  }
}
