package org.pollenrock.router.settings;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.pollenrock.core.limits.LimitScope;
import org.pollenrock.core.limits.LimitValues;
import org.pollenrock.core.model.RequestKind;
import org.pollenrock.core.placement.CostWeights;
import org.pollenrock.core.settings.ApiKeyHash;
import org.pollenrock.core.settings.ApiKeyOwner;
import org.pollenrock.core.settings.EffectiveSettings;
import org.pollenrock.core.settings.RequestTraits;
import org.pollenrock.core.settings.SettingKey;
import org.pollenrock.core.settings.SettingsTree;

/**
 * One accepted revision of the settings. A request keeps the object it began with, so that it is
 * decided under one revision throughout.
 */
public final class RouterSettings {
  private final long revision;
  private final SettingsTree tree;

  /** Bounded by the tree: callers come from its keys and kinds from its kinds. */
  private final Map<ValuesKey, RequestValues> values = new ConcurrentHashMap<>();

  private record ValuesKey(ApiKeyOwner owner, Optional<RequestKind> kind) {}

  /**
   * Creates the settings of a revision.
   *
   * @param revision position of the accepted change in the log
   * @param tree the settings
   */
  public RouterSettings(long revision, SettingsTree tree) {
    this.revision = revision;
    this.tree = Objects.requireNonNull(tree, "tree");
  }

  /**
   * The revision.
   *
   * @return position of the accepted change in the log
   */
  public long revision() {
    return revision;
  }

  /**
   * The settings.
   *
   * @return the tree
   */
  public SettingsTree tree() {
    return tree;
  }

  /**
   * Finds the owner of an API key.
   *
   * @param apiKey the key as the caller sent it
   * @return the owner, empty for an unknown key
   */
  public Optional<ApiKeyOwner> identify(String apiKey) {
    return tree.ownerOf(ApiKeyHash.ofKey(apiKey));
  }

  /**
   * Values in force for a request.
   *
   * @param owner who sent it
   * @param traits what is known of it
   * @return the values
   */
  public RequestValues values(ApiKeyOwner owner, RequestTraits traits) {
    return values.computeIfAbsent(new ValuesKey(owner, tree.kindOf(traits)), this::resolve);
  }

  private RequestValues resolve(ValuesKey key) {
    EffectiveSettings effective =
        EffectiveSettings.resolve(
            tree,
            Optional.of(key.owner().customer()),
            Optional.of(key.owner().caller()),
            key.kind());
    return new RequestValues(
        key.kind(), effective, LimitScopes.of(tree, key.owner(), key.kind()), weights(effective));
  }

  /**
   * Limits of a scope.
   *
   * @param scope whose requests are counted
   * @return the limits, empty for a customer that the settings do not name
   */
  public Optional<LimitValues> limits(LimitScope scope) {
    return LimitScopes.of(tree, scope);
  }

  private static CostWeights weights(EffectiveSettings effective) {
    double ttft = effective.decimal(SettingKey.TTFT_WEIGHT);
    double hit = effective.decimal(SettingKey.HIT_WEIGHT);
    long margin = effective.number(SettingKey.SPILL_MARGIN);
    return ttft + hit > 0 ? new CostWeights(ttft, hit, margin) : new CostWeights(1, 0, margin);
  }
}
