package org.pollenrock.router.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.core.limits.LimitScope;
import org.pollenrock.core.limits.LimitValues;
import org.pollenrock.core.limits.ScopedLimits;
import org.pollenrock.core.model.RequestKind;
import org.pollenrock.core.settings.ApiKeyOwner;
import org.pollenrock.core.settings.EffectiveSettings;
import org.pollenrock.core.settings.SettingKey;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.core.settings.ValueLevel;
import org.pollenrock.core.settings.ValueRange;

/**
 * Limits that a request is charged to: those of its customer, and those of its caller and kind
 * where the tree sets some of their own.
 */
final class LimitScopes {
  private static final List<SettingKey> LIMITS =
      List.of(
          SettingKey.REQUESTS_PER_SECOND,
          SettingKey.BURST,
          SettingKey.CONCURRENT_REQUESTS,
          SettingKey.PROMPT_TOKENS_PER_SECOND);

  private LimitScopes() {}

  static List<ScopedLimits> of(SettingsTree tree, ApiKeyOwner owner, Optional<RequestKind> kind) {
    List<ScopedLimits> scopes = new ArrayList<>();
    EffectiveSettings customer =
        EffectiveSettings.resolve(
            tree, Optional.of(owner.customer()), Optional.empty(), Optional.empty());
    add(scopes, LimitScope.of(owner.customer()), customer, Set.of(ValueLevel.values()));
    EffectiveSettings caller =
        EffectiveSettings.resolve(
            tree, Optional.of(owner.customer()), Optional.of(owner.caller()), Optional.empty());
    add(scopes, LimitScope.of(owner.customer(), owner.caller()), caller, Set.of(ValueLevel.CALLER));
    if (kind.isEmpty()) {
      return scopes;
    }
    EffectiveSettings customerKind =
        EffectiveSettings.resolve(tree, Optional.of(owner.customer()), Optional.empty(), kind);
    add(
        scopes,
        LimitScope.of(owner.customer(), kind.get()),
        customerKind,
        Set.of(ValueLevel.ROOT_KIND, ValueLevel.CUSTOMER_KIND));
    EffectiveSettings callerKind =
        EffectiveSettings.resolve(
            tree, Optional.of(owner.customer()), Optional.of(owner.caller()), kind);
    add(
        scopes,
        new LimitScope(owner.customer(), Optional.of(owner.caller()), kind),
        callerKind,
        Set.of(ValueLevel.CALLER_KIND));
    return scopes;
  }

  /** Limits of a scope, whether or not a request was charged to it here. */
  static Optional<LimitValues> of(SettingsTree tree, LimitScope scope) {
    return tree.customer(scope.customer())
        .map(
            known ->
                limits(
                    EffectiveSettings.resolve(
                        tree, Optional.of(scope.customer()), scope.caller(), scope.kind())));
  }

  private static void add(
      List<ScopedLimits> scopes,
      LimitScope scope,
      EffectiveSettings values,
      Set<ValueLevel> levels) {
    boolean own = LIMITS.stream().anyMatch(key -> levels.contains(values.level(key)));
    LimitValues limits = limits(values);
    boolean limited =
        limits.milliRequestsPerSecond() != LimitValues.UNLIMITED
            || limits.concurrentRequests() != LimitValues.UNLIMITED
            || limits.promptTokensPerSecond() != LimitValues.UNLIMITED;
    if (own && limited) {
      scopes.add(new ScopedLimits(scope, limits));
    }
  }

  /** Decimal settings are held in thousandths, which is also the unit of a request rate. */
  private static LimitValues limits(EffectiveSettings values) {
    return new LimitValues(
        number(values, SettingKey.REQUESTS_PER_SECOND),
        number(values, SettingKey.BURST),
        number(values, SettingKey.CONCURRENT_REQUESTS),
        number(values, SettingKey.PROMPT_TOKENS_PER_SECOND));
  }

  private static long number(EffectiveSettings values, SettingKey key) {
    long number = values.number(key);
    return number == ValueRange.UNLIMITED ? LimitValues.UNLIMITED : number;
  }
}
