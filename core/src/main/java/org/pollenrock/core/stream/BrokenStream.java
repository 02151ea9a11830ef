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
 * @param nextTokenIndex first index in the whole response that was not relayed
 * @param indexOffset offset of the broken attempt's own indexes
 * @param breakCount how many times this stream broke, this one included
 * @param sameServerResumeFailed whether a resumption on this server and incarnation was already
 *     refused or made no progress
 * @param canContinue whether another server can go on from prompt plus text; false when the
 *     response holds state that text does not show
 */
public record BrokenStream(
    BackendServerId server,
    Incarnation incarnation,
    WeightsVersion weights,
    long nextTokenIndex,
    long indexOffset,
    int breakCount,
    boolean sameServerResumeFailed,
    boolean canContinue) {
  /**
   * Checks the parts.
   *
   * @throws IllegalArgumentException when an index is out of range or no break is counted
   */
  public BrokenStream {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(weights, "weights");
    if (indexOffset < 0 || nextTokenIndex < indexOffset) {
      throw new IllegalArgumentException(
          "offset " + indexOffset + ", next index " + nextTokenIndex);
    }
    if (breakCount < 1) {
      throw new IllegalArgumentException("breaks must be positive: " + breakCount);
    }
  }
}
