package org.pollenrock.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests that reach the wrong service, and against an older configuration that
 * replaces a newer one.
 */
class RoutingConfigTest {
  private static final CustomerAccess OWNER =
      new CustomerAccess("owner", OptionalInt.of(3), true, Optional.empty());

  private static Route route(String prefix, boolean anonymous, WeightedService... services) {
    return new Route(
        "r" + prefix,
        "host.example",
        prefix,
        RouteKind.IDEMPOTENT,
        List.of(services),
        1000,
        100,
        5,
        2,
        anonymous,
        false,
        false);
  }

  private static RoutingConfig config(long version, Route... routes) {
    return new RoutingConfig(
        version,
        new RouteTable(List.of(routes)),
        Map.of(),
        Map.of("key", OWNER),
        new CacheScopes(Set.of()),
        true,
        CallerBounds.DEFAULT,
        Optional.empty());
  }

  @Test
  void longestPrefixOfTheHostWins() {
    RouteTable table =
        new RouteTable(
            List.of(
                route("/a/", false, new WeightedService("short", 1)),
                route("/a/b/", false, new WeightedService("long", 1))));
    assertThat(table.find("HOST.example:80", "/a/b/c?x=/a/").orElseThrow().serviceFor(""))
        .isEqualTo("long");
    assertThat(table.find("host.example", "/a/bc").orElseThrow().serviceFor("")).isEqualTo("short");
    assertThat(table.find("host.example", "/b/?q=/a/b/")).isEmpty();
    assertThat(table.find("other.example", "/a/b/c")).isEmpty();
  }

  @Test
  void unknownKeysAreAllowedOnAnonymousRoutesOnly() {
    RoutingConfig config =
        config(
            1,
            route("/open/", true, new WeightedService("s", 1)),
            route("/shut/", false, new WeightedService("s", 1)));
    assertThat(config.decide("host.example", "/open/x", Optional.empty()))
        .isEqualTo(new RouteDecision.Allowed(findRoute(config, "/open/"), Optional.empty()));
    assertThat(config.decide("host.example", "/shut/x", Optional.of("gone")))
        .isInstanceOf(RouteDecision.UnknownKey.class);
    assertThat(config.decide("host.example", "/shut/x", Optional.of("key")))
        .isEqualTo(new RouteDecision.Allowed(findRoute(config, "/shut/"), Optional.of(OWNER)));
    assertThat(config.decide("host.example", "/none/", Optional.of("key")))
        .isInstanceOf(RouteDecision.NoRoute.class);
  }

  @Test
  void sharesOfServicesFollowTheirWeights() {
    Route route =
        route("/a/", false, new WeightedService("most", 90), new WeightedService("few", 10));
    int few = 0;
    for (int i = 0; i < 10_000; i++) {
      few += route.serviceFor("id-" + i).equals("few") ? 1 : 0;
    }
    assertThat(few).isBetween(850, 1150);
    assertThat(route.serviceFor("id-7")).isEqualTo(route.serviceFor("id-7"));
  }

  @Test
  void serviceWithoutWeightGetsNothing() {
    Route route =
        route("/a/", false, new WeightedService("none", 0), new WeightedService("all", 1));
    for (int i = 0; i < 100; i++) {
      assertThat(route.serviceFor("id-" + i)).isEqualTo("all");
    }
  }

  /** Load pattern: long and short prompts of the same priority share the engines. */
  @Test
  void customerPriorityOverridesRoutePriorityAndShortPromptsGoFirst() {
    Route route = route("/a/", false, new WeightedService("s", 1));
    assertThat(route.urgency(OptionalInt.of(1), 500)).isEqualTo(2);
    assertThat(route.urgency(OptionalInt.of(1), 12_000)).isEqualTo(3);
    assertThat(route.urgency(OptionalInt.of(2), 500)).isEqualTo(4);
    assertThat(route.urgency(OptionalInt.empty(), 500)).isEqualTo(9);
    assertThat(route.urgency(OptionalInt.of(40), 0)).isEqualTo(9);
  }

  @Test
  void configurationNeverReverts() {
    ActiveConfig history = new ActiveConfig();
    assertThat(history.callerBounds()).isEqualTo(CallerBounds.DEFAULT);
    RoutingConfig second = config(7);
    assertThat(history.replaceIfNewer(config(3))).isTrue();
    assertThat(history.replaceIfNewer(second)).isTrue();
    assertThat(history.replaceIfNewer(config(5))).isFalse();
    assertThat(history.replaceIfNewer(config(7))).isFalse();
    assertThat(history.current()).containsSame(second);
  }

  private static Route findRoute(RoutingConfig config, String path) {
    return config.routes().find("host.example", path).orElseThrow();
  }

  /** A service from which a split has taken all requests must not get streams that go on either. */
  @Test
  void serviceWithoutAShareGetsNoRequests() {
    Route split = route("/", false, new WeightedService("a", 1), new WeightedService("b", 0));
    assertThat(split.sendsTo("a")).isTrue();
    assertThat(split.sendsTo("b")).isFalse();
  }
}
