package org.pollenrock.core.settings;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Priority;
import org.pollenrock.core.model.RequestKind;

/** Every value for a customer, caller and kind, with the ancestor from which it comes. */
public final class EffectiveSettings {
  private final Optional<CustomerId> customer;
  private final Optional<CallerId> caller;
  private final Optional<RequestKind> kind;
  private final long[] numbers;
  private final ValueLevel[] levels;

  private EffectiveSettings(
      Optional<CustomerId> customer, Optional<CallerId> caller, Optional<RequestKind> kind) {
    this.customer = customer;
    this.caller = caller;
    this.kind = kind;
    this.numbers = new long[SettingKey.all().size()];
    this.levels = new ValueLevel[numbers.length];
    Arrays.fill(levels, ValueLevel.DEFAULT);
    for (SettingKey key : SettingKey.all()) {
      numbers[key.ordinal()] = key.defaultValue();
    }
  }

  /**
   * Resolves every value. Names that the tree does not have contribute nothing.
   *
   * @param tree the settings of one revision
   * @param customer the customer, or empty for values above all customers
   * @param caller the caller, or empty for the customer's own values
   * @param kind the kind, or empty for a request of no kind
   * @return the values
   */
  public static EffectiveSettings resolve(
      SettingsTree tree,
      Optional<CustomerId> customer,
      Optional<CallerId> caller,
      Optional<RequestKind> kind) {
    Objects.requireNonNull(tree, "tree");
    EffectiveSettings effective = new EffectiveSettings(customer, caller, kind);
    effective.overlay(tree.root(), ValueLevel.ROOT);
    kind.flatMap(name -> tree.kinds().find(name.value()))
        .ifPresent(found -> effective.overlay(found.values(), ValueLevel.ROOT_KIND));
    customer.flatMap(tree::customer).ifPresent(effective::overlayCustomer);
    return effective;
  }

  private void overlayCustomer(CustomerSettings found) {
    overlay(found.values(), ValueLevel.CUSTOMER);
    overlayKind(found.kinds(), ValueLevel.CUSTOMER_KIND);
    caller
        .flatMap(name -> found.callers().find(name.value()))
        .ifPresent(
            settings -> {
              overlay(settings.values(), ValueLevel.CALLER);
              overlayKind(settings.kinds(), ValueLevel.CALLER_KIND);
            });
  }

  private void overlayKind(NameTable<SettingsValues> kinds, ValueLevel level) {
    kind.flatMap(name -> kinds.find(name.value())).ifPresent(values -> overlay(values, level));
  }

  private void overlay(SettingsValues values, ValueLevel level) {
    for (SettingKey key : SettingKey.all()) {
      if (values.has(key)) {
        numbers[key.ordinal()] = values.number(key);
        levels[key.ordinal()] = level;
      }
    }
  }

  /**
   * A value as a whole number.
   *
   * @param key the key
   * @return the number in the unit of the key; {@link ValueRange#UNLIMITED} for no limit
   */
  public long number(SettingKey key) {
    return numbers[key.ordinal()];
  }

  /**
   * A limit as a whole number.
   *
   * @param key the key
   * @return the number in the unit of the key, or empty when there is no limit
   */
  public OptionalLong limit(SettingKey key) {
    return number(key) == ValueRange.UNLIMITED
        ? OptionalLong.empty()
        : OptionalLong.of(number(key));
  }

  /**
   * A value of type {@link ValueType#DECIMAL}.
   *
   * @param key the key
   * @return the number; infinite for no limit
   */
  public double decimal(SettingKey key) {
    return number(key) == ValueRange.UNLIMITED
        ? Double.POSITIVE_INFINITY
        : (double) number(key) / ValueType.DECIMAL_SCALE;
  }

  /**
   * A value as it is written in a file.
   *
   * @param key the key
   * @return the text with its unit
   */
  public String text(SettingKey key) {
    return key.range().format(number(key));
  }

  /**
   * The level from which a value comes.
   *
   * @param key the key
   * @return the level of the branch that sets it
   */
  public ValueLevel level(SettingKey key) {
    return levels[key.ordinal()];
  }

  /**
   * The branch that sets a value.
   *
   * @param key the key
   * @return its path, or empty for a default
   */
  public Optional<SettingsPath> source(SettingKey key) {
    ValueLevel level = level(key);
    return switch (level) {
      case DEFAULT -> Optional.empty();
      case ROOT -> Optional.of(SettingsPath.of("root"));
      case ROOT_KIND -> Optional.of(SettingsPath.of("kinds", kindName()));
      case CUSTOMER -> Optional.of(customerPath());
      case CUSTOMER_KIND -> Optional.of(customerPath().child("kinds").child(kindName()));
      case CALLER -> Optional.of(callerPath());
      case CALLER_KIND -> Optional.of(callerPath().child("kinds").child(kindName()));
    };
  }

  private String kindName() {
    return kind.orElseThrow().value();
  }

  private SettingsPath customerPath() {
    return SettingsPath.of("customers", customer.orElseThrow().value());
  }

  private SettingsPath callerPath() {
    return customerPath().child("callers").child(caller.orElseThrow().value());
  }

  /**
   * Share of capacity relative to others of the same priority.
   *
   * @return a positive number
   */
  public double weight() {
    return decimal(SettingKey.WEIGHT);
  }

  /**
   * Class of the request.
   *
   * @return the priority
   */
  public Priority priority() {
    return Priority.values()[(int) number(SettingKey.PRIORITY)];
  }

  /**
   * Time to the end of the answer when the caller sends no deadline.
   *
   * @return nanoseconds
   */
  public long deadlineNanos() {
    return number(SettingKey.DEADLINE);
  }
}
