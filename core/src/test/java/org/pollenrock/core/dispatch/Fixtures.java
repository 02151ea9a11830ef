package org.pollenrock.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.ratelimit.RateShares;
import org.pollenrock.core.ratelimit.ServerRateLimits;
import org.pollenrock.core.weights.WeightsTargets;

/** Requests and servers for the tests of this package. */
final class Fixtures {
  static final long MILLI = 1_000_000L;
  static final long SECOND = 1_000_000_000L;
  static final String MODEL = "model";

  private Fixtures() {}

  static ListedBackend engine(String id, String dataCentre, long weights) {
    return engine(id, "10.0.0." + Math.floorMod(id.hashCode(), 250), dataCentre, weights);
  }

  static ListedBackend engineAt(String id, String host) {
    return engine(id, host, "near", 1);
  }

  private static ListedBackend engine(String id, String host, String dataCentre, long weights) {
    return new ListedBackend(
        id, 1, "v1", "llm", host, 8000, dataCentre, 32, true, Map.of(MODEL, weights));
  }

  static ListedBackend plainServer(String id, String dataCentre, int slots) {
    return new ListedBackend(
        id, 1, "v1", "ledger", "10.0.0.1", 8000, dataCentre, slots, true, Map.of());
  }

  static Prompt prompt(String sharedPartId, int sharedTokens, int ownTokens) {
    return new Prompt(
        MODEL,
        sharedTokens + ownTokens,
        50,
        List.of(new PromptPart(sharedPartId, sharedTokens), new PromptPart("own", ownTokens)));
  }

  static DispatchRequest request(String id, Optional<Prompt> prompt, int urgency, long nowNanos) {
    return new DispatchRequest(
        id,
        prompt.isPresent() ? "llm" : "ledger",
        Optional.empty(),
        prompt,
        Optional.empty(),
        Optional.empty(),
        urgency,
        true,
        600,
        nowNanos,
        nowNanos + 2 * SECOND);
  }

  static DispatchRequest promptRequest(
      String id, Prompt prompt, long targetLatencyMillis, long nowNanos) {
    return new DispatchRequest(
        id,
        "llm",
        Optional.empty(),
        Optional.of(prompt),
        Optional.empty(),
        Optional.empty(),
        3,
        true,
        targetLatencyMillis,
        nowNanos,
        nowNanos + 6 * SECOND);
  }

  /** Returns the dispatcher of an instance that started long ago. */
  static Dispatcher dispatcher(Fleet fleet, CrashQuarantine quarantine, int retrySlack) {
    return new Dispatcher(
        fleet,
        new ServerSelector(
            SelectorSettings.defaults("near"),
            new PrefixDirectory(),
            new PrefixStoreView(),
            customer -> "shared"),
        new WeightsTargets(0),
        quarantine,
        new ServerRateLimits(
            new RateShares(new InstanceId("own"), 0), (server, notice, announced) -> {}),
        new RetryAllowanceSettings(0.2, retrySlack, 10 * SECOND),
        -20 * SECOND);
  }
}
