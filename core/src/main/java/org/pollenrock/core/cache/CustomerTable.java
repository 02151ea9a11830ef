package org.pollenrock.core.cache;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.model.CustomerId;

/**
 * Customers with entries in the index, each with a small number and a count of entries.
 *
 * <p>Slot 0 stands for blocks that are known from events only, whose customer is not known. It has
 * no floor.
 */
final class CustomerTable {
  static final int UNATTRIBUTED = 0;

  private final Map<CustomerId, Integer> slots = new HashMap<>();
  private final List<CustomerId> customers = new ArrayList<>();
  private final List<Integer> freeSlots = new ArrayList<>();
  private final int floor;
  private final int capacity;
  private int[] counts = new int[16];

  CustomerTable(int capacity, int floor) {
    this.capacity = capacity;
    this.floor = floor;
    customers.add(null);
  }

  int slotOf(CustomerId customer) {
    Integer known = slots.get(customer);
    if (known != null) {
      return known;
    }
    int slot;
    if (freeSlots.isEmpty()) {
      slot = customers.size();
      customers.add(customer);
      if (slot == counts.length) {
        counts = Arrays.copyOf(counts, 2 * counts.length);
      }
    } else {
      slot = freeSlots.remove(freeSlots.size() - 1);
      customers.set(slot, customer);
    }
    slots.put(customer, slot);
    return slot;
  }

  void add(int slot, int delta) {
    counts[slot] += delta;
    if (counts[slot] == 0 && slot != UNATTRIBUTED) {
      slots.remove(customers.set(slot, null));
      freeSlots.add(slot);
    }
  }

  int size() {
    return customers.size();
  }

  int count(int slot) {
    return counts[slot];
  }

  /** Slot of a customer that has entries, otherwise -1. */
  int find(CustomerId customer) {
    return slots.getOrDefault(customer, IndexLists.NONE);
  }

  /** The customer with the most entries. */
  int largest() {
    int best = UNATTRIBUTED;
    for (int slot = 0; slot < customers.size(); slot++) {
      if (counts[slot] > counts[best]) {
        best = slot;
      }
    }
    return best;
  }

  int count(CustomerId customer) {
    return Optional.ofNullable(slots.get(customer)).map(this::count).orElse(0);
  }

  /** True when an entry of this customer may be evicted for another customer. */
  boolean aboveFloor(int slot) {
    if (slot == UNATTRIBUTED) {
      return counts[slot] > 0;
    }
    return counts[slot] > effectiveFloor();
  }

  /** The floors never add up to more than the capacity. */
  int effectiveFloor() {
    return Math.min(floor, capacity / Math.max(1, slots.size()));
  }
}
