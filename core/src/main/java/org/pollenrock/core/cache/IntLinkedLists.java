package org.pollenrock.core.cache;

import java.util.Arrays;

/**
 * Doubly linked lists of small non-negative integers. Lists are numbered from 0, and each item is
 * in at most one list.
 *
 * <p>The links are stored in primitive arrays and take 8 bytes for each item and 8 bytes for each
 * list. Linked objects would take about ten times as much memory at the size of the cache index.
 */
final class IntLinkedLists {
  /** Marks the absence of an item. */
  static final int NONE = -1;

  private int[] heads;
  private int[] tails;
  private int[] previous;
  private int[] next;

  /** Creates empty lists with room for the given numbers of lists and items. */
  IntLinkedLists(int lists, int items) {
    heads = emptyLinks(lists);
    tails = emptyLinks(lists);
    previous = emptyLinks(items);
    next = emptyLinks(items);
  }

  private static int[] emptyLinks(int length) {
    int[] array = new int[length];
    Arrays.fill(array, NONE);
    return array;
  }

  /** Returns a longer copy of an array whose new elements are {@link #NONE}. */
  static int[] copyWithLength(int[] array, int length) {
    int[] copy = Arrays.copyOf(array, length);
    Arrays.fill(copy, array.length, length, NONE);
    return copy;
  }

  /** Makes room for at least the given number of lists. */
  void ensureListCapacity(int lists) {
    if (lists > heads.length) {
      int length = Math.max(lists, 2 * heads.length);
      heads = copyWithLength(heads, length);
      tails = copyWithLength(tails, length);
    }
  }

  /** Makes room for the given number of items, which is at least the present one. */
  void setItemCapacity(int items) {
    previous = copyWithLength(previous, items);
    next = copyWithLength(next, items);
  }

  /** Returns the first item of a list, or {@link #NONE}. */
  int head(int list) {
    return heads[list];
  }

  /** Returns the last item of a list, or {@link #NONE}. */
  int tail(int list) {
    return tails[list];
  }

  /** Returns the item after an item of a list, or {@link #NONE}. */
  int next(int item) {
    return next[item];
  }

  /** Returns the item before an item of a list, or {@link #NONE}. */
  int previous(int item) {
    return previous[item];
  }

  /** Adds an item that is in no list to the front of a list. */
  void addFirst(int list, int item) {
    int head = heads[list];
    previous[item] = NONE;
    next[item] = head;
    if (head == NONE) {
      tails[list] = item;
    } else {
      previous[head] = item;
    }
    heads[list] = item;
  }

  /** Removes an item from the list that contains it. */
  void remove(int list, int item) {
    int before = previous[item];
    int after = next[item];
    if (before == NONE) {
      heads[list] = after;
    } else {
      next[before] = after;
    }
    if (after == NONE) {
      tails[list] = before;
    } else {
      previous[after] = before;
    }
  }

  /** Moves an item to the front of the list that contains it. */
  void moveToFront(int list, int item) {
    if (heads[list] != item) {
      remove(list, item);
      addFirst(list, item);
    }
  }
}
