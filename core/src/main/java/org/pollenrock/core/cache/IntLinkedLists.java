package org.pollenrock.core.cache;

import java.util.Arrays;

/**
 * Doubly linked lists over small integers, each item in at most one list.
 *
 * <p>Links live in primitive arrays: 8 bytes an item and 8 bytes a list. Objects would take about
 * ten times as much at the size of the cache index.
 */
final class IntLinkedLists {
  static final int NONE = -1;

  private int[] heads;
  private int[] tails;
  private int[] previous;
  private int[] next;

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

  static int[] copyWithLength(int[] array, int length) {
    int[] copy = Arrays.copyOf(array, length);
    Arrays.fill(copy, array.length, length, NONE);
    return copy;
  }

  void ensureListCapacity(int lists) {
    if (lists > heads.length) {
      int length = Math.max(lists, 2 * heads.length);
      heads = copyWithLength(heads, length);
      tails = copyWithLength(tails, length);
    }
  }

  void setItemCapacity(int items) {
    previous = copyWithLength(previous, items);
    next = copyWithLength(next, items);
  }

  int head(int list) {
    return heads[list];
  }

  int tail(int list) {
    return tails[list];
  }

  int next(int item) {
    return next[item];
  }

  int previous(int item) {
    return previous[item];
  }

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

  void moveToFront(int list, int item) {
    if (heads[list] != item) {
      remove(list, item);
      addFirst(list, item);
    }
  }
}
