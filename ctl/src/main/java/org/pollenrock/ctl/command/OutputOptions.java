package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.function.Consumer;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** How a command prints its result. */
public final class OutputOptions {
  /** Formats of results. */
  public enum Format {
    TEXT,
    JSON
  }

  @Spec(Spec.Target.MIXEE)
  private picocli.CommandLine.Model.CommandSpec spec;

  @Option(
      names = "--output",
      paramLabel = "FORMAT",
      defaultValue = "text",
      description = "Format of the result: text or json (default: ${DEFAULT-VALUE}).")
  private Format format;

  ObjectNode object() {
    return JsonNodeFactory.instance.objectNode();
  }

  /** Prints the result in the chosen format. */
  void print(JsonNode json, Consumer<PrintWriter> text) {
    PrintWriter out = spec.commandLine().getOut();
    if (format == Format.JSON) {
      out.println(json);
    } else {
      text.accept(out);
    }
    out.flush();
  }

  PrintWriter err() {
    return spec.commandLine().getErr();
  }
}
