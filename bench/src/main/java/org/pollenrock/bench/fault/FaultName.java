package org.pollenrock.bench.fault;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

/** Faults by the names that the command line takes. */
public enum FaultName {
  /** Two engines crash, one after the other, and come back empty. */
  ENGINE_CRASH,
  /** Cache events are lost. */
  EVENT_GAPS,
  /** All routers of a data centre restart together. */
  ROUTER_HERD,
  /** The hot set of dossiers shifts. */
  HOT_SHIFT,
  /** The log refuses everything. */
  LOG_OUTAGE,
  /** Appends take effect without an answer. */
  LOG_LOST_ACK,
  /** Operators publish conflicting changes at the same time. */
  CONFIG_RACE,
  /** Open connections go silent for good. */
  SILENT_CONNECTIONS,
  /** A data centre is cut off from the others and from the log. */
  PARTITION,
  /** A server leaves. */
  SERVER_LEAVES,
  /** One router stops as planned and another takes its place. */
  ROUTER_STOPS,
  /** The settings name another weights version. */
  WEIGHTS_ROLLOUT,
  /** Answers are late and some name another request. */
  LATE_ANSWERS;

  /**
   * Name on the command line.
   *
   * @return lower case with underscores
   */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Reads a list of names.
   *
   * @param text names separated by commas, or empty
   * @return the faults
   * @throws IllegalArgumentException when a name is unknown
   */
  public static Set<FaultName> parse(String text) {
    Set<FaultName> faults = EnumSet.noneOf(FaultName.class);
    Arrays.stream(text.split(","))
        .map(String::strip)
        .filter(name -> !name.isEmpty())
        .forEach(name -> faults.add(named(name)));
    return faults;
  }

  private static FaultName named(String name) {
    return Arrays.stream(values())
        .filter(fault -> fault.wireName().equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no fault is named " + name));
  }
}
