package org.pollenrock.bench.figure;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.pollenrock.bench.history.RunHistory;

/** Guards against a page that refers to plots that were not written. */
class PlotPageTest {
  @TempDir private Path directory;

  @Test
  void writesEveryPlotThatThePageShows() throws IOException {
    PlotPage page = new PlotPage("chama", 3, Optional.of(new FaultWindow(1, 2)));
    page.add("random", new RunHistory(List.of(), List.of(), List.of(), 0, List.of(), List.of()));

    page.write(directory.resolve("report"), "figures");

    Path report = directory.resolve("report");
    List<String> images =
        Files.readString(report.resolve("index.html"))
            .lines()
            .filter(line -> line.startsWith("<img"))
            .map(line -> line.split("\"")[1])
            .toList();
    assertThat(images).hasSize(3).allSatisfy(image -> assertThat(report.resolve(image)).exists());
  }
}
