package org.pollenrock.core.placement;

import java.util.LinkedHashMap;
import java.util.Map;
import org.pollenrock.core.model.BlockKey;

/**
 * Which prefixes are being sent to another data centre.
 *
 * <p>A spill begins when the gain exceeds the margin and continues until the gain falls under half
 * of it, so that a gain near the margin does not move a prefix back and forth.
 */
public final class SpillState {
  private final Map<BlockKey, Boolean> spillingPrefixes;

  /**
   * Creates a state without spills.
   *
   * @param capacity most prefixes to remember; the least recently used are dropped
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
   * Decides whether a prefix goes to another data centre.
   *
   * @param prefix the prefix
   * @param gainNanos cost of the best local server less that of the best remote one, network delay
   *     included
   * @param marginNanos gain at which a spill begins
   * @return true to use the remote server
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
   * Number of prefixes that are being sent to another data centre.
   *
   * @return the count
   */
  public int size() {
    return spillingPrefixes.size();
  }
}
