package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.pollenrock.core.settings.SettingsEdit;
import org.pollenrock.core.settings.SettingsProblem;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.core.settings.TreeDiff;
import org.pollenrock.core.settings.TreeReview;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Reviews settings before they are published. */
@Command(
    name = "review",
    description = {
      "Prints the errors of FILE, entries that can never match, limits that contradict each other,"
          + " and the edits that lead from the settings on the log (--log), or from another file"
          + " (--file), to FILE.",
      "The exit code is 1 when there are errors or findings; differences alone don't change it."
    },
    mixinStandardHelpOptions = true)
public final class ReviewCommand implements Callable<Integer> {
  @Mixin private OutputOptions output;
  @Mixin private TreeSource inForce;

  @Parameters(paramLabel = "FILE", description = "The settings to review.")
  private Path file;

  @Override
  public Integer call() throws Exception {
    SettingsTree tree = SettingsFiles.tree(file);
    List<SettingsProblem> findings = TreeReview.findings(tree);
    TreeSource.Loaded loaded = inForce.load();
    List<SettingsEdit> edits = TreeDiff.edits(loaded.tree(), tree);
    ObjectNode json = output.object().put("revision", loaded.revision());
    ArrayNode list = json.putArray("findings");
    for (SettingsProblem finding : findings) {
      list.addObject().put("path", finding.path().toString()).put("message", finding.message());
    }
    EditPrinter.addAll(json.putArray("edits"), edits);
    output.print(
        json,
        out -> {
          findings.forEach(out::println);
          out.println("findings: " + findings.size());
          EditPrinter.print(out, edits);
          out.println("differences from the settings in force: " + edits.size());
        });
    return findings.isEmpty() ? 0 : CommandFailure.NEGATIVE;
  }
}
