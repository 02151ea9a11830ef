package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import org.pollenrock.core.settings.SettingsEdit;
import org.pollenrock.core.settings.TreeDiff;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Prints the edits that lead from the settings in force, or from a file, to a file. */
@Command(
    name = "diff",
    description = {
      "Prints the edits that lead from the settings on the log (--log), or from another file"
          + " (--file), to FILE.",
      "The exit code is 1 when there are any."
    },
    mixinStandardHelpOptions = true)
public final class DiffCommand implements Callable<Integer> {
  @Mixin private OutputOptions output;
  @Mixin private TreeSource source;

  @Parameters(paramLabel = "FILE", description = "The settings to reach.")
  private Path file;

  @Override
  public Integer call() throws Exception {
    TreeSource.Loaded loaded = source.load();
    List<SettingsEdit> edits = TreeDiff.edits(loaded.tree(), SettingsFiles.tree(file));
    ObjectNode json = output.object().put("revision", loaded.revision());
    EditPrinter.addAll(json.putArray("edits"), edits);
    output.print(json, out -> EditPrinter.print(out, edits));
    return edits.isEmpty() ? 0 : CommandFailure.NEGATIVE;
  }
}
