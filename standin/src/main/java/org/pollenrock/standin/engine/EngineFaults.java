package org.pollenrock.standin.engine;

/** Faults that an engine has still to show; confined to the engine's event loop. */
final class EngineFaults {
  private int streamsToCut;
  private int endsToCut;
  private int answersForOthers;
  private double slowdown = 1.0;
  private boolean leaving;
  private boolean reportsFrozen;

  void cutStreams(int count) {
    streamsToCut += count;
  }

  boolean takeCut() {
    if (streamsToCut == 0) {
      return false;
    }
    streamsToCut--;
    return true;
  }

  void cutEnds(int count) {
    endsToCut += count;
  }

  boolean takeEndCut() {
    if (endsToCut == 0) {
      return false;
    }
    endsToCut--;
    return true;
  }

  void answerForOthers(int count) {
    answersForOthers += count;
  }

  boolean takeAnswerForOther() {
    if (answersForOthers == 0) {
      return false;
    }
    answersForOthers--;
    return true;
  }

  void slowdown(double factor) {
    slowdown = factor;
  }

  double slowdown() {
    return slowdown;
  }

  void leaving(boolean on) {
    leaving = on;
  }

  boolean leaving() {
    return leaving;
  }

  void freezeReports(boolean on) {
    reportsFrozen = on;
  }

  boolean reportsFrozen() {
    return reportsFrozen;
  }
}
