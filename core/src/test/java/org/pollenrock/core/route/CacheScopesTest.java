package org.pollenrock.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Guards against cached prompts that are used across the wall around an isolated customer. */
class CacheScopesTest {
  private static final List<String> CUSTOMERS = List.of("a", "b", "ab", "c");
  private static final int CONFIGURATIONS = 12;

  /** What is last known of a customer; one that is gone has not given up its isolation. */
  private enum Wish {
    ABSENT,
    SHARING,
    ISOLATED,
    GONE_ISOLATED
  }

  private static Wish change(Wish wish, SplittableRandom random) {
    return switch (random.nextInt(4)) {
      case 0 -> Wish.SHARING;
      case 1 -> Wish.ISOLATED;
      case 2 ->
          wish == Wish.ISOLATED || wish == Wish.GONE_ISOLATED ? Wish.GONE_ISOLATED : Wish.ABSENT;
      default -> wish;
    };
  }

  private static CacheScopes scopes(Map<String, Wish> wishes) {
    Set<String> sharing = new HashSet<>();
    wishes.forEach(
        (customer, wish) -> {
          if (wish == Wish.SHARING) {
            sharing.add(customer);
          }
        });
    return new CacheScopes(sharing);
  }

  private static boolean isIsolated(Wish wish) {
    return wish == Wish.ISOLATED || wish == Wish.GONE_ISOLATED;
  }

  /** Nothing that is cached is ever dropped here, which is the worst that caches can do. */
  @Property(tries = 2000, seed = "23")
  void noPromptIsUsedAcrossTheWall(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Map<String, Set<String>> makersByScope = new HashMap<>();
    Map<String, Wish> wishes = new HashMap<>();
    CUSTOMERS.forEach(customer -> wishes.put(customer, Wish.ABSENT));
    for (int i = 0; i < CONFIGURATIONS; i++) {
      wishes.replaceAll((customer, wish) -> change(wish, random));
      // Each request finds its scope at an instance that knows this configuration alone.
      for (String customer : CUSTOMERS) {
        if (wishes.get(customer) != Wish.SHARING && wishes.get(customer) != Wish.ISOLATED) {
          continue;
        }
        String scope = scopes(wishes).scopeOf(Optional.of(customer));
        for (String maker : makersByScope.computeIfAbsent(scope, each -> new HashSet<>())) {
          boolean walled = isIsolated(wishes.get(customer)) || isIsolated(wishes.get(maker));
          assertThat(maker.equals(customer) || !walled)
              .describedAs("%s uses what %s made in %s, %s", customer, maker, scope, wishes)
              .isTrue();
        }
        makersByScope.get(scope).add(customer);
      }
    }
  }

  @Test
  void sameCustomersShareTheSameScopeInAnyOrder() {
    String scope = new CacheScopes(Set.of("a", "b")).scopeOf(Optional.of("a"));
    assertThat(new CacheScopes(Set.of("b", "a")).scopeOf(Optional.of("b"))).isEqualTo(scope);
    assertThat(new CacheScopes(Set.of("ab")).scopeOf(Optional.of("ab"))).isNotEqualTo(scope);
    assertThat(new CacheScopes(Set.of("b", "a")).scopeOf(Optional.empty())).isEqualTo(scope);
  }
}
