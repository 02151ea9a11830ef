package org.pollenrock.core.placement;

import java.util.List;
import java.util.Optional;
import org.pollenrock.core.model.BlockKey;

/**
 * Keys of the prefix levels of a request. They rank servers and identify levels in request rates.
 *
 * <p>A key depends on customer, model, adapter and content, but not on the weights version, so the
 * homes of a prefix stay the same during a rollout. The keys are not sent to engines.
 */
final class PrefixLevelKeys {
  private final BlockKey[] keys;

  private PrefixLevelKeys(BlockKey[] keys) {
    this.keys = keys;
  }

  /**
   * Computes the keys of a request. A request without levels has one key that depends on customer,
   * model and adapter only.
   */
  static PrefixLevelKeys of(PlacementRequest request) {
    String owner =
        request.customer().value()
            + '\0'
            + request.model().value()
            + '\0'
            + request.adapter().map(Object::toString).orElse("");
    long ownerHash = RendezvousHash.hash(owner);
    List<Integer> levelEnds = request.levelEnds();
    if (levelEnds.isEmpty()) {
      return new PrefixLevelKeys(new BlockKey[] {new BlockKey(ownerHash, 0)});
    }
    BlockKey[] keys = new BlockKey[levelEnds.size()];
    for (int level = 0; level < keys.length; level++) {
      BlockKey content = request.blocks().prefixKey(levelEnds.get(level));
      keys[level] =
          new BlockKey(content.high() ^ ownerHash, content.low() ^ RendezvousHash.mix(ownerHash));
    }
    return new PrefixLevelKeys(keys);
  }

  /** Returns the number of levels, at least 1. */
  int count() {
    return keys.length;
  }

  /** Returns the key of a level; level 0 is the shortest prefix. */
  BlockKey key(int level) {
    return keys[level];
  }

  /** Returns the key of the longest prefix. */
  BlockKey deepest() {
    return keys[keys.length - 1];
  }

  /** Returns the key of the level above the deepest one, or empty when there is one level only. */
  Optional<BlockKey> parent() {
    return keys.length < 2 ? Optional.empty() : Optional.of(keys[keys.length - 2]);
  }
}
