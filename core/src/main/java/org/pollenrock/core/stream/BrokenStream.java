package org.pollenrock.core.stream;

import java.util.Objects;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/**
 * State of a stream whose attempt broke.
 *
 * @param server server that ran the attempt
 * @param incarnation incarnation that ran it
 * @param weights weights version that computed the relayed tokens
 * @param nextIndex first index in the whole response that was not relayed
 * @param indexOffset offset of the broken attempt's own indexes
 * @param breaks how many times this stream broke, this one included
 * @param sameServerFailed whether a resumption on this server and incarnation was already refused
 *     or made no progress
 * @param continuable whether another server can go on from prompt plus text; false when the
 *     response holds state that text does not show
 */
public record BrokenStream(
    BackendServerId server,
    Incarnation incarnation,
    WeightsVersion weights,
    long nextIndex,
    long indexOffset,
    int breaks,
    boolean sameServerFailed,
    boolean continuable) {
  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException when an index is out of range or no break is counted
   */
  public BrokenStream {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(weights, "weights");
    if (indexOffset < 0 || nextIndex < indexOffset) {
      throw new IllegalArgumentException("offset " + indexOffset + ", next index " + nextIndex);
    }
    if (breaks < 1) {
      throw new IllegalArgumentException("breaks must be positive: " + breaks);
    }
  }
}
