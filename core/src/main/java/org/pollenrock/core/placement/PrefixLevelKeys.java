package org.pollenrock.core.placement;

import java.util.List;
import java.util.Optional;
import org.pollenrock.core.model.BlockKey;

/**
 * Keys of the prefix levels of a request, for ranking and rates.
 *
 * <p>The keys depend on customer, model, adapter and content, not on the weights version: the homes
 * of a prefix stay the same during a rollout. They are not sent to engines.
 */
final class PrefixLevelKeys {
  private final BlockKey[] keys;

  private PrefixLevelKeys(BlockKey[] keys) {
    this.keys = keys;
  }

  static PrefixLevelKeys of(PlacementRequest request) {
    String owner =
        request.customer().value()
            + '\0'
            + request.model().value()
            + '\0'
            + request.adapter().map(Object::toString).orElse("");
    long seed = RendezvousHash.hash(owner);
    List<Integer> ends = request.levelEnds();
    if (ends.isEmpty()) {
      return new PrefixLevelKeys(new BlockKey[] {new BlockKey(seed, 0)});
    }
    BlockKey[] keys = new BlockKey[ends.size()];
    for (int level = 0; level < keys.length; level++) {
      BlockKey content = request.blocks().prefixKey(ends.get(level));
      keys[level] = new BlockKey(content.high() ^ seed, content.low() ^ RendezvousHash.mix(seed));
    }
    return new PrefixLevelKeys(keys);
  }

  int count() {
    return keys.length;
  }

  BlockKey key(int level) {
    return keys[level];
  }

  BlockKey deepest() {
    return keys[keys.length - 1];
  }

  Optional<BlockKey> parent() {
    return keys.length < 2 ? Optional.empty() : Optional.of(keys[keys.length - 2]);
  }
}
