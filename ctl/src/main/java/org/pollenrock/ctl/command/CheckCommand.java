package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.pollenrock.settings.ReadResult;
import org.pollenrock.settings.SettingsError;
import org.pollenrock.settings.SettingsReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Checks settings files. */
@Command(
    name = "check",
    description = "Checks settings files; prints file, line, column and path of each error.",
    mixinStandardHelpOptions = true)
public final class CheckCommand implements Callable<Integer> {
  @Mixin private OutputOptions output;

  @Option(names = "--process", description = "The files are process settings of a router.")
  private boolean process;

  @Parameters(arity = "1..*", paramLabel = "FILE", description = "Files to check.")
  private List<Path> files;

  @Override
  public Integer call() throws CommandFailure {
    List<SettingsError> errors = new ArrayList<>();
    for (Path file : files) {
      errors.addAll(check(file));
    }
    ObjectNode json = output.object().put("valid", errors.isEmpty());
    ArrayNode list = json.putArray("errors");
    errors.forEach(error -> addError(list.addObject(), error));
    output.print(
        json,
        out -> {
          errors.forEach(out::println);
          out.println(errors.isEmpty() ? "valid" : "errors: " + errors.size());
        });
    return errors.isEmpty() ? 0 : CommandFailure.NEGATIVE;
  }

  private List<SettingsError> check(Path file) throws CommandFailure {
    String text = SettingsFiles.text(file);
    ReadResult<?> result =
        process
            ? SettingsReader.readProcess(file.toString(), text)
            : SettingsReader.readTree(file.toString(), text);
    return result instanceof ReadResult.Invalid<?> invalid ? invalid.errors() : List.of();
  }

  private static void addError(ObjectNode json, SettingsError error) {
    json.put("file", error.file())
        .put("line", error.line())
        .put("column", error.column())
        .put("path", error.path().toString())
        .put("message", error.message());
  }
}
