package org.pollenrock.ctl.command;

import java.nio.file.Path;
import org.pollenrock.core.settings.SettingsHistory;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.ctl.log.LogClient;
import org.pollenrock.ctl.log.LogException;
import org.pollenrock.ctl.log.SettingsLog;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Where a command takes a tree from: the log or a file. */
public final class TreeSource {
  /**
   * A tree and the revision that it is of.
   *
   * @param tree the settings
   * @param revision its revision, {@link SettingsHistory#NO_REVISION} for a file
   * @param base offset of the last record that was read, the base of a change made against the tree
   */
  record Loaded(SettingsTree tree, long revision, long base) {}

  @Mixin private LogOptions log;

  @Option(names = "--file", paramLabel = "FILE", description = "Settings file, instead of the log.")
  private Path file;

  Loaded load() throws CommandFailure, LogException, InterruptedException {
    if (file != null) {
      return new Loaded(
          SettingsFiles.tree(file), SettingsHistory.NO_REVISION, SettingsHistory.NO_REVISION);
    }
    LogClient client = log.open();
    SettingsLog read = LogOptions.read(client);
    SettingsHistory history = read.history();
    return new Loaded(history.tree(), history.revision(), history.next() - 1);
  }
}
