package org.pollenrock.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.pollenrock.core.model.BlockKey;

/**
 * Records which prefixes are sent to another data centre (spill).
 *
 * <p>A spill begins when the gain exceeds the margin and ends when the gain falls below half of the
 * margin. This hysteresis prevents a prefix from moving back and forth while its gain is near the
 * margin.
 */
public final class SpillState {
  private final Map<BlockKey, Boolean> spillingPrefixes;

  /**
   * Creates a state without spills.
   *
   * @param capacity maximum number of prefixes; the least recently used ones are dropped
   */
  public SpillState(int capacity) {
    spillingPrefixes =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<BlockKey, Boolean> eldest) {
            return size() > capacity;
          }
        };
  }

  /**
   * Decides whether a prefix is sent to another data centre, and records the decision.
   *
   * @param prefix the prefix
   * @param gainNanos cost of the best local server minus the cost of the best remote server, which
   *     includes the network delay
   * @param marginNanos gain above which a spill begins
   * @return true when the remote server is to be used
   */
  public boolean shouldSpill(BlockKey prefix, double gainNanos, double marginNanos) {
    if (spillingPrefixes.containsKey(prefix)) {
      if (gainNanos >= marginNanos / 2 && gainNanos > 0) {
        spillingPrefixes.put(prefix, true);
        return true;
      }
      spillingPrefixes.remove(prefix);
      return false;
    }
    if (gainNanos > marginNanos) {
      spillingPrefixes.put(prefix, true);
      return true;
    }
    return false;
  }

  /**
   * Returns the number of prefixes that are being sent to another data centre.
   *
   * @return number of prefixes
   */
  public int size() {
    return spillingPrefixes.size();
  }
}
