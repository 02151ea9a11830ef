package org.pollenrock.settings;

import java.util.List;
import java.util.function.BiFunction;
import org.pollenrock.core.settings.ProblemList;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.core.settings.TreeReader;

/** Reads settings files and reports each error with file, line, column and path. */
public final class SettingsReader {
  private SettingsReader() {}

  /**
   * Reads the shared tree.
   *
   * @param file name of the file, for errors
   * @param text the YAML or JSON text
   * @return the tree or the errors
   */
  public static ReadResult<SettingsTree> readTree(String file, String text) {
    return read(file, text, TreeReader::read);
  }

  /**
   * Reads the process settings of a router.
   *
   * @param file name of the file, for errors
   * @param text the YAML or JSON text
   * @return the settings or the errors
   */
  public static ReadResult<ProcessSettings> readProcess(String file, String text) {
    return read(file, text, ProcessReader::read);
  }

  /**
   * Reads a part of a tree without a check against the schema, such as the value of an edit.
   *
   * @param file name of the file, for errors
   * @param text the YAML or JSON text
   * @return the plain content or the errors
   */
  public static ReadResult<SettingsNode> readNode(String file, String text) {
    return read(file, text, (node, problems) -> node);
  }

  private static <T> ReadResult<T> read(
      String file, String text, BiFunction<SettingsNode, ProblemList, T> reader) {
    return switch (YamlReader.read(file, text)) {
      case ReadResult.Invalid<YamlDocument>(List<SettingsError> errors) ->
          new ReadResult.Invalid<>(errors);
      case ReadResult.Valid<YamlDocument>(YamlDocument document) -> check(document, reader);
    };
  }

  private static <T> ReadResult<T> check(
      YamlDocument document, BiFunction<SettingsNode, ProblemList, T> reader) {
    ProblemList problems = new ProblemList();
    T value = reader.apply(document.root(), problems);
    return problems.isEmpty()
        ? new ReadResult.Valid<>(value)
        : new ReadResult.Invalid<>(document.locate(problems));
  }
}
