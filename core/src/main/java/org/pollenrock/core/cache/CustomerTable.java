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

  private final Map<CustomerId, Integer> slotsByCustomer = new HashMap<>();
  private final List<CustomerId> customersBySlot = new ArrayList<>();
  private final List<Integer> freeSlots = new ArrayList<>();
  private final int floor;
  private final int capacity;
  private int[] entryCounts = new int[16];

  CustomerTable(int capacity, int floor) {
    this.capacity = capacity;
    this.floor = floor;
    customersBySlot.add(null);
  }

  int findOrAddSlot(CustomerId customer) {
    Integer known = slotsByCustomer.get(customer);
    if (known != null) {
      return known;
    }
    int slot;
    if (freeSlots.isEmpty()) {
      slot = customersBySlot.size();
      customersBySlot.add(customer);
      if (slot == entryCounts.length) {
        entryCounts = Arrays.copyOf(entryCounts, 2 * entryCounts.length);
      }
    } else {
      slot = freeSlots.remove(freeSlots.size() - 1);
      customersBySlot.set(slot, customer);
    }
    slotsByCustomer.put(customer, slot);
    return slot;
  }

  void addToEntryCount(int slot, int delta) {
    entryCounts[slot] += delta;
    if (entryCounts[slot] == 0 && slot != UNATTRIBUTED) {
      slotsByCustomer.remove(customersBySlot.set(slot, null));
      freeSlots.add(slot);
    }
  }

  int slotCount() {
    return customersBySlot.size();
  }

  int entryCount(int slot) {
    return entryCounts[slot];
  }

  /** Slot of a customer that has entries, otherwise -1. */
  int findSlot(CustomerId customer) {
    return slotsByCustomer.getOrDefault(customer, IntLinkedLists.NONE);
  }

  /** The customer with the most entries. */
  int slotWithMostEntries() {
    int best = UNATTRIBUTED;
    for (int slot = 0; slot < customersBySlot.size(); slot++) {
      if (entryCounts[slot] > entryCounts[best]) {
        best = slot;
      }
    }
    return best;
  }

  int entryCount(CustomerId customer) {
    return Optional.ofNullable(slotsByCustomer.get(customer)).map(this::entryCount).orElse(0);
  }

  /** True when an entry of this customer may be evicted for another customer. */
  boolean isAboveFloor(int slot) {
    if (slot == UNATTRIBUTED) {
      return entryCounts[slot] > 0;
    }
    return entryCounts[slot] > effectiveFloor();
  }

  /** The floors never add up to more than the capacity. */
  int effectiveFloor() {
    return Math.min(floor, capacity / Math.max(1, slotsByCustomer.size()));
  }
}
