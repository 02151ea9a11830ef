package org.pollenrock.core.cache;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.model.CustomerId;

/**
 * Customers with entries in the index. Each customer has a slot, which is a small number, and a
 * count of its entries.
 *
 * <p>The floor is the number of entries of a customer that other customers cannot evict. Slot 0
 * stands for blocks that are known only from cache events and whose customer is unknown; it has no
 * floor.
 */
final class CustomerTable {
  /** Slot of the blocks whose customer is unknown. */
  static final int UNATTRIBUTED = 0;

  private final Map<CustomerId, Integer> slotsByCustomer = new HashMap<>();
  private final List<CustomerId> customersBySlot = new ArrayList<>();
  private final List<Integer> freeSlots = new ArrayList<>();
  private final int floor;
  private final int capacity;
  private int[] entryCounts = new int[16];

  /**
   * Creates a table without customers.
   *
   * @param capacity largest number of entries of the index
   * @param floor number of entries of a customer that other customers cannot evict
   */
  CustomerTable(int capacity, int floor) {
    this.capacity = capacity;
    this.floor = floor;
    customersBySlot.add(null);
  }

  /** Returns the slot of a customer; assigns one when the customer has none. */
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

  /**
   * Changes the number of entries of a slot. The slot becomes free when the count reaches 0, except
   * slot 0.
   */
  void addToEntryCount(int slot, int delta) {
    entryCounts[slot] += delta;
    if (entryCounts[slot] == 0 && slot != UNATTRIBUTED) {
      slotsByCustomer.remove(customersBySlot.set(slot, null));
      freeSlots.add(slot);
    }
  }

  /** Returns the number of slots, including free ones and slot 0. */
  int slotCount() {
    return customersBySlot.size();
  }

  /** Returns the number of entries of a slot. */
  int entryCount(int slot) {
    return entryCounts[slot];
  }

  /** Returns the slot of a customer that has entries, otherwise -1. */
  int findSlot(CustomerId customer) {
    return slotsByCustomer.getOrDefault(customer, IntLinkedLists.NONE);
  }

  /** Returns the slot with the most entries, which can be slot 0. */
  int slotWithMostEntries() {
    int best = UNATTRIBUTED;
    for (int slot = 0; slot < customersBySlot.size(); slot++) {
      if (entryCounts[slot] > entryCounts[best]) {
        best = slot;
      }
    }
    return best;
  }

  /** Returns the number of entries of a customer, 0 when the customer has no slot. */
  int entryCount(CustomerId customer) {
    return Optional.ofNullable(slotsByCustomer.get(customer)).map(this::entryCount).orElse(0);
  }

  /** Tests whether an entry of this slot may be evicted for another customer. */
  boolean isAboveFloor(int slot) {
    if (slot == UNATTRIBUTED) {
      return entryCounts[slot] > 0;
    }
    return entryCounts[slot] > effectiveFloor();
  }

  /**
   * Returns the floor of each customer in entries: the configured floor, lowered so that the floors
   * of all customers never add up to more than the capacity.
   */
  int effectiveFloor() {
    return Math.min(floor, capacity / Math.max(1, slotsByCustomer.size()));
  }
}
