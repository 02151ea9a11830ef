package org.pollenrock.settings;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.pollenrock.core.settings.ProblemList;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsPath;
import org.pollenrock.core.settings.SettingsProblem;

/**
 * A settings file as plain nodes, with the place of each entry.
 *
 * @param file name of the file
 * @param root the content
 * @param places line and column of each entry
 */
record YamlDocument(String file, SettingsNode root, Map<SettingsPath, Place> places) {
  /** Place of an entry, from 1. */
  record Place(int line, int column) {}

  YamlDocument {
    Objects.requireNonNull(file, "file");
    Objects.requireNonNull(root, "root");
  }

  /** Gives each problem the place of its entry, or of the nearest ancestor that has one. */
  List<SettingsError> locate(ProblemList problems) {
    return problems.toList().stream().map(this::locate).toList();
  }

  private SettingsError locate(SettingsProblem problem) {
    SettingsPath path = problem.path();
    int depth = path.depth();
    while (depth > 0 && !places.containsKey(path.prefix(depth))) {
      depth--;
    }
    Place place = places.getOrDefault(path.prefix(depth), new Place(1, 1));
    return new SettingsError(file, place.line(), place.column(), path, problem.message());
  }
}
