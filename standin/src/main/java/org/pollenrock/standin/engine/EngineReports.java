package org.pollenrock.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/** Load reports that become visible after a lag; confined to the engine's event loop. */
final class EngineReports {
  private final long lagNanos;
  private final Deque<Report> pending = new ArrayDeque<>();
  private String visible = "";

  EngineReports(long lagNanos) {
    this.lagNanos = lagNanos;
  }

  private record Report(String json, long atNanos) {}

  void add(String json, long nowNanos) {
    if (visible.isEmpty()) {
      visible = json;
    }
    pending.addLast(new Report(json, nowNanos));
  }

  String visible(long nowNanos) {
    while (!pending.isEmpty() && pending.getFirst().atNanos + lagNanos <= nowNanos) {
      visible = pending.removeFirst().json;
    }
    return visible;
  }

  void reset() {
    pending.clear();
    visible = "";
  }
}
