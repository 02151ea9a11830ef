package org.pollenrock.ctl.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.settings.ReadResult;
import org.pollenrock.settings.SettingsError;
import org.pollenrock.settings.SettingsReader;

/** Reads settings files for commands. */
final class SettingsFiles {
  private SettingsFiles() {}

  static String text(Path file) throws CommandFailure {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new CommandFailure(CommandFailure.UNREACHABLE, "cannot read " + file + ": " + e);
    }
  }

  static SettingsTree tree(Path file) throws CommandFailure {
    return switch (SettingsReader.readTree(file.toString(), text(file))) {
      case ReadResult.Valid<SettingsTree>(SettingsTree tree) -> tree;
      case ReadResult.Invalid<SettingsTree>(List<SettingsError> errors) ->
          throw new CommandFailure(
              CommandFailure.NEGATIVE,
              errors.stream().map(SettingsError::toString).collect(Collectors.joining("\n")));
    };
  }
}
