package org.pollenrock.core.stream;

import java.util.Objects;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/**
 * State of a stream whose attempt ended before the response was complete.
 *
 * @param server server that ran the attempt
 * @param incarnation incarnation of the server that ran the attempt
 * @param weights weights version that computed the relayed tokens
 * @param nextTokenIndex index in the whole response of the first token that was not relayed
 * @param indexOffset index in the whole response of the attempt's own index 0
 * @param breakCount how many times this stream broke, including this time
 * @param sameServerResumeFailed whether a resumption on this server and incarnation was already
 *     refused or made no progress
 * @param canContinue whether a new run can continue from the prompt and the relayed text; false if
 *     the response has state that the text does not contain
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
   * Checks that the objects are not null and the numbers are in range.
   *
   * @throws IllegalArgumentException if an index is out of range or the break count is not positive
   */
  public BrokenStream {
    Objects.requireNonNull(server, "server");
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(weights, "weights");
    if (indexOffset < 0 || nextTokenIndex < indexOffset) {
      throw new IllegalArgumentException(
          "indexOffset " + indexOffset + " is out of range for nextTokenIndex " + nextTokenIndex);
    }
    if (breakCount < 1) {
      throw new IllegalArgumentException("breakCount must be positive: " + breakCount);
    }
  }
}
