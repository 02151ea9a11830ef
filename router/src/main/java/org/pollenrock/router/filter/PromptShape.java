package org.pollenrock.router.filter;

import java.util.List;
import org.pollenrock.core.prefix.PromptBlocks;

/**
 * A prompt as placement sees it.
 *
 * @param blocks digests of its full blocks
 * @param levelEnds full blocks at the end of each nested level, strictly ascending
 */
record PromptShape(PromptBlocks blocks, List<Integer> levelEnds) {
  PromptShape {
    levelEnds = List.copyOf(levelEnds);
  }
}
