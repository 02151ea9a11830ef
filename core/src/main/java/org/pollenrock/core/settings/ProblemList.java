package org.pollenrock.core.settings;

import java.util.ArrayList;
import java.util.List;

/** Collects problems up to a bound, so that a hostile document cannot fill the memory. */
public final class ProblemList {
  /** Greatest number of problems that are kept. */
  public static final int MAX_PROBLEMS = 100;

  private final List<SettingsProblem> problems = new ArrayList<>();

  /**
   * Adds a problem unless the list is full.
   *
   * @param path where it is
   * @param message what is wrong
   */
  public void add(SettingsPath path, String message) {
    if (!isFull()) {
      problems.add(new SettingsProblem(path, message));
    }
  }

  /**
   * Tells whether there is no problem.
   *
   * @return true when there is none
   */
  public boolean isEmpty() {
    return problems.isEmpty();
  }

  /**
   * Tells whether further problems are dropped, so that no message needs to be built for them.
   *
   * @return true when the bound is reached
   */
  public boolean isFull() {
    return problems.size() >= MAX_PROBLEMS;
  }

  /**
   * The problems in the order in which they were found.
   *
   * @return a copy
   */
  public List<SettingsProblem> toList() {
    return List.copyOf(problems);
  }
}
