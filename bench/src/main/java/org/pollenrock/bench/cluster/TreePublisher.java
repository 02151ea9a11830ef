package org.pollenrock.bench.cluster;

import java.util.List;
import java.util.UUID;
import org.pollenrock.adapters.log.LogStreams;
import org.pollenrock.core.settings.SettingsChange;
import org.pollenrock.core.settings.SettingsCodec;
import org.pollenrock.core.settings.SettingsEdit;
import org.pollenrock.core.settings.SettingsHistory;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsPath;
import org.pollenrock.standin.log.LogStandin;

/** Publishes settings changes of an experiment on the log. */
final class TreePublisher {
  private static final String AUTHOR = "experiment";

  private final LogStandin log;
  private long base = SettingsHistory.NO_REVISION;

  TreePublisher(LogStandin log) {
    this.log = log;
  }

  /**
   * Publishes edits made against the newest revision that this publisher knows; returns the offset.
   */
  synchronized long publish(List<SettingsEdit> edits) {
    base = append(edits, base);
    return base;
  }

  /** Publishes a new value at a path; returns the offset. */
  long put(String path, String value) {
    return publish(List.of(edit(path, value)));
  }

  /** Publishes two changes of one value, both made against the same revision. */
  synchronized void race(String path, String first, String second) {
    long common = base;
    base = append(List.of(edit(path, first)), common);
    append(List.of(edit(path, second)), common);
  }

  private long append(List<SettingsEdit> edits, long against) {
    SettingsChange change = new SettingsChange(UUID.randomUUID(), AUTHOR, against, edits);
    return log.append(LogStreams.SETTINGS, SettingsCodec.encode(change));
  }

  private static SettingsEdit edit(String path, String value) {
    return new SettingsEdit.Put(SettingsPath.parse(path), new SettingsNode.Text(value));
  }
}
