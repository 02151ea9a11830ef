package org.pollenrock.core.settings;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;

/**
 * Finds the owner of an API key by its hash.
 *
 * <p>Sorted arrays that share hashes and names with the customers' settings, so that an entry costs
 * three references.
 */
public final class ApiKeyIndex {
  /** An index without keys. */
  public static final ApiKeyIndex EMPTY =
      new ApiKeyIndex(new ApiKeyHash[0], new String[0], new String[0]);

  private final ApiKeyHash[] hashes;
  private final String[] customers;
  private final String[] callers;

  private ApiKeyIndex(ApiKeyHash[] hashes, String[] customers, String[] callers) {
    this.hashes = hashes;
    this.customers = customers;
    this.callers = callers;
  }

  private record Entry(ApiKeyHash hash, String customer, String caller) {}

  /**
   * Indexes all keys of a tree.
   *
   * @param table the customers
   * @param problems receives each key that two customers have
   * @return the index; for a key that occurs twice, one of its owners
   */
  static ApiKeyIndex of(NameTable<CustomerSettings> table, ProblemList problems) {
    Map<ApiKeyHash, Entry> entries = new HashMap<>();
    table.forEach((name, customer) -> addAll(entries, name, customer.apiKeys(), problems));
    return ofEntries(entries.values().stream().toList());
  }

  private static void addAll(
      Map<ApiKeyHash, Entry> entries, String name, List<ApiKey> keys, ProblemList problems) {
    for (ApiKey key : keys) {
      Entry other = entries.put(key.hash(), new Entry(key.hash(), name, key.caller()));
      if (other != null) {
        addDuplicate(problems, name, key.hash(), other.customer());
      }
    }
  }

  private static void addDuplicate(
      ProblemList problems, String name, ApiKeyHash hash, String other) {
    problems.add(
        SettingsPath.of("customers", name, "api-keys", hash.toString()),
        "customer '" + other + "' has the same API key");
  }

  private static ApiKeyIndex ofEntries(List<Entry> entries) {
    Entry[] sorted = entries.toArray(Entry[]::new);
    Arrays.sort(sorted, (left, right) -> left.hash().compareTo(right.hash()));
    ApiKeyHash[] hashes = new ApiKeyHash[sorted.length];
    String[] customers = new String[sorted.length];
    String[] callers = new String[sorted.length];
    for (int i = 0; i < sorted.length; i++) {
      hashes[i] = sorted[i].hash();
      customers[i] = sorted[i].customer();
      callers[i] = sorted[i].caller();
    }
    return new ApiKeyIndex(hashes, customers, callers);
  }

  /**
   * Copy in which some customers have other keys.
   *
   * @param changed all keys of each of these customers, empty when it is gone
   * @param problems receives each key that two customers have
   * @return the changed copy
   */
  ApiKeyIndex with(Map<String, List<ApiKey>> changed, ProblemList problems) {
    if (changed.isEmpty()) {
      return this;
    }
    Map<ApiKeyHash, Entry> entries = new HashMap<>(2 * hashes.length + 1);
    for (int i = 0; i < hashes.length; i++) {
      if (!changed.containsKey(customers[i])) {
        entries.put(hashes[i], new Entry(hashes[i], customers[i], callers[i]));
      }
    }
    changed.forEach((name, keys) -> addAll(entries, name, keys, problems));
    return ofEntries(entries.values().stream().toList());
  }

  /**
   * Finds the owner of a key.
   *
   * @param hash hash of the key
   * @return its owner, when the key is known
   */
  public Optional<ApiKeyOwner> find(ApiKeyHash hash) {
    int index = Arrays.binarySearch(hashes, hash);
    if (index < 0 || !hashes[index].matches(hash)) {
      return Optional.empty();
    }
    return Optional.of(
        new ApiKeyOwner(new CustomerId(customers[index]), new CallerId(callers[index])));
  }

  /**
   * Number of keys.
   *
   * @return the count
   */
  public int size() {
    return hashes.length;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof ApiKeyIndex index
        && Arrays.equals(hashes, index.hashes)
        && Arrays.equals(customers, index.customers)
        && Arrays.equals(callers, index.callers);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(hashes);
  }
}
