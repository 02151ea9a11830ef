package org.pollenrock.core.membership;

import java.util.List;
import java.util.Objects;
import org.pollenrock.core.model.InstanceId;

/**
 * Message with which a router sends the states of backend servers to its peers.
 *
 * @param from router that sent the message
 * @param digests states that the servers reported, with the age of each report
 */
public record ServerStatesMessage(InstanceId from, List<ServerEvidence.PeerDigest> digests) {
  /** Maximum number of digests in one message, which keeps a frame under its size limit. */
  public static final int MAX_DIGESTS = 4096;

  /**
   * Checks and copies the digests.
   *
   * @throws IllegalArgumentException if there are more than {@link #MAX_DIGESTS} digests
   */
  public ServerStatesMessage {
    Objects.requireNonNull(from, "from");
    digests = List.copyOf(digests);
    if (digests.size() > MAX_DIGESTS) {
      throw new IllegalArgumentException(
          "message contains more than the maximum number of digests");
    }
  }
}
