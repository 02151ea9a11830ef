package org.pollenrock.bench.experiment;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.pollenrock.bench.cluster.StandinCluster;
import org.pollenrock.core.placement.ConsistentHashStrategy;
import org.pollenrock.core.placement.ExpectedCostStrategy;
import org.pollenrock.core.placement.LeastLoadedStrategy;
import org.pollenrock.core.placement.PlacementStrategy;
import org.pollenrock.core.placement.RandomStrategy;

/** Placement policies that an experiment compares. */
public enum Policy {
  /** The product's own strategy. */
  POLLENROCK,
  /** Any server with equal chance. */
  RANDOM,
  /** The server with the shortest known queue. */
  LEAST_LOADED,
  /** The server that the prefix hashes to. */
  CONSISTENT_HASH,
  /** A plain search over every server with what the router itself knows. */
  NAIVE,
  /** Exact knowledge of every cache and queue: the upper bound. */
  ORACLE;

  /**
   * Name on the command line and in reports.
   *
   * @return lower case with underscores
   */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Reads a list of names.
   *
   * @param text names separated by commas; empty for all
   * @return the policies
   * @throws IllegalArgumentException when a name is unknown
   */
  public static List<Policy> parse(String text) {
    if (text.isBlank()) {
      return List.of(values());
    }
    return Arrays.stream(text.split(",")).map(String::strip).map(Policy::named).toList();
  }

  private static Policy named(String name) {
    return Arrays.stream(values())
        .filter(policy -> policy.wireName().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no policy is named " + name));
  }

  /**
   * Makes the strategy of one router.
   *
   * @param cluster the stand-ins, which only the oracle looks into
   * @return a new strategy
   */
  PlacementStrategy strategy(StandinCluster cluster) {
    return switch (this) {
      case POLLENROCK -> new ExpectedCostStrategy();
      case RANDOM -> new RandomStrategy();
      case LEAST_LOADED -> new LeastLoadedStrategy();
      case CONSISTENT_HASH -> new ConsistentHashStrategy();
      case NAIVE -> new NaiveStrategy();
      case ORACLE -> new OracleStrategy(cluster);
    };
  }
}
