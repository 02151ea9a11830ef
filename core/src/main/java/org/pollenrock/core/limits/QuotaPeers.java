package org.pollenrock.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.placement.RendezvousHash;

/** What an instance believes the others to have of one quota. */
final class QuotaPeers {
  /** Time for which an instance that did not answer is not asked again. */
  private static final long SILENT_NANOS = 1_000_000_000L;

  /**
   * Known balance of an instance.
   *
   * @param amount the balance at that time
   * @param atNanos time from which on the balance grows
   */
  private record Known(double amount, long atNanos) {}

  /**
   * Instance that may have something to give.
   *
   * @param instance the instance
   * @param estimate estimated balance
   */
  record Candidate(InstanceId instance, double estimate) {}

  private final long seed;
  private final Map<InstanceId, Known> known = new HashMap<>();
  private QuotaShares shares = QuotaShares.UNKNOWN;
  private double ratePerSecond;
  private double capacity;
  private int rotation;

  QuotaPeers(InstanceId self) {
    seed = RendezvousHash.hash(self.value());
  }

  /** Sets the quota of all instances together, and how it is divided. */
  void adjust(QuotaShares newShares, double newRatePerSecond, double newCapacity) {
    shares = newShares;
    ratePerSecond = newRatePerSecond;
    capacity = newCapacity;
    known.keySet().retainAll(newShares.givers());
  }

  /** Records the balance of an instance. */
  void recordBalance(InstanceId instance, double amount, long nowNanos) {
    known.put(instance, new Known(Math.max(0, amount), nowNanos));
  }

  /** Records that an instance did not answer. */
  void recordSilence(InstanceId instance, long nowNanos) {
    known.put(instance, new Known(0, nowNanos + SILENT_NANOS));
  }

  /** Returns the instances to ask, the one with the largest estimated balance first. */
  List<Candidate> candidates(long nowNanos) {
    List<InstanceId> givers = shares.givers();
    List<Candidate> candidates = new ArrayList<>(givers.size());
    // Starting at different instances keeps equal estimates from leading all to the same one.
    int start = givers.isEmpty() ? 0 : Math.floorMod(seed + rotation++, givers.size());
    for (int i = 0; i < givers.size(); i++) {
      InstanceId instance = givers.get((start + i) % givers.size());
      candidates.add(new Candidate(instance, estimate(instance, nowNanos)));
    }
    candidates.sort(Comparator.comparingDouble(Candidate::estimate).reversed());
    return candidates;
  }

  private double estimate(InstanceId instance, long nowNanos) {
    double fraction = shares.fraction(instance);
    Known balance = known.get(instance);
    if (balance == null) {
      return capacity * fraction;
    }
    double seconds = Math.max(0, nowNanos - balance.atNanos()) / 1e9;
    return Math.min(capacity, balance.amount() / fraction + seconds * ratePerSecond) * fraction;
  }
}
