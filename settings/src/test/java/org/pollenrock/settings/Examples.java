package org.pollenrock.settings;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Access to the example files and the settings page at the root of the repository. */
final class Examples {
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

  private Examples() {}

  static String read(String name) {
    return readFile(ROOT.resolve("examples").resolve(name));
  }

  static String settingsPage() {
    return readFile(ROOT.resolve("docs/SETTINGS.md"));
  }

  private static String readFile(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static List<String> routers(String deployment) {
    try (Stream<Path> files = Files.list(ROOT.resolve("examples").resolve(deployment))) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> name.startsWith("router-"))
          .sorted()
          .map(name -> deployment + "/" + name)
          .toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
