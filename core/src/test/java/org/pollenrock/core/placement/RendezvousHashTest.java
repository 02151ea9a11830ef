package org.pollenrock.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.pollenrock.core.model.BlockKey;

class RendezvousHashTest {
  /** Guards against a ranking that differs from sorting all servers by weight. */
  @Property(seed = "4401", tries = 200, shrinking = ShrinkingMode.FULL)
  void topEqualsSortingAll(
      @ForAll long seed,
      @ForAll @IntRange(min = 0, max = 40) int servers,
      @ForAll @IntRange(min = 0, max = 10) int count) {
    long[] seeds = new Random(seed).longs(servers).toArray();
    BlockKey key = new BlockKey(seed, ~seed);
    List<Integer> sorted = new ArrayList<>();
    for (int server = 0; server < servers; server++) {
      sorted.add(server);
    }
    Comparator<Long> unsigned = Long::compareUnsigned;
    sorted.sort(
        Comparator.comparing(
            server -> RendezvousHash.weight(key, seeds[server]), unsigned.reversed()));
    int[] top = RendezvousHash.top(key, seeds, count);
    assertThat(top).hasSize(Math.min(count, servers));
    for (int rank = 0; rank < top.length; rank++) {
      assertThat(top[rank]).isEqualTo(sorted.get(rank));
    }
  }

  /** Guards against keys that change their home although it stays, and against a skewed hash. */
  @Property(seed = "4402", tries = 5, shrinking = ShrinkingMode.OFF)
  void leavingServerMovesOnlyItsOwnKeys(@ForAll long seed) {
    Random random = new Random(seed);
    long[] before = random.longs(13).toArray();
    long[] after = Arrays.copyOf(before, 12);
    int[] homes = new int[13];
    for (int prefix = 0; prefix < 13_000; prefix++) {
      BlockKey key = new BlockKey(random.nextLong(), random.nextLong());
      int home = RendezvousHash.top(key, before, 1)[0];
      homes[home]++;
      if (home < 12) {
        assertThat(RendezvousHash.top(key, after, 1)[0]).isEqualTo(home);
      }
    }
    assertThat(IntStream.of(homes).boxed())
        .allSatisfy(count -> assertThat(count).isBetween(800, 1_200));
  }
}
