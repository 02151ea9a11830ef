package org.pollenrock.ctl.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Prints what the logs of one or several instances say of one request, in the order of time. */
@Command(
    name = "trace",
    description = "Prints the story of one request from the logs of one or several instances.",
    mixinStandardHelpOptions = true)
public final class TraceCommand implements Callable<Integer> {
  /** Fields of every line that the story shows elsewhere or not at all. */
  private static final Set<String> LEFT_OUT = Set.of("time_ms", "event", "id");

  @Parameters(index = "0", paramLabel = "ID", description = "Identity of the request.")
  private String id;

  @Parameters(
      index = "1..*",
      paramLabel = "FILE",
      description = "Log files; standard input when there is none.")
  private List<Path> files = new ArrayList<>();

  @Option(
      names = "--around",
      paramLabel = "MS",
      defaultValue = "0",
      description = "Shows what happened to the request's servers this long before and after it.")
  private long aroundMillis;

  @Spec private CommandSpec spec;

  private final ObjectMapper mapper = new ObjectMapper();

  private record Line(long timeMillis, String source, JsonNode json) {
    private String text(String field) {
      return json.path(field).asText("");
    }
  }

  @Override
  public Integer call() throws CommandFailure {
    List<Line> lines = new ArrayList<>();
    try {
      if (files.isEmpty()) {
        read(
            "stdin",
            new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)),
            lines);
      }
      for (Path file : files) {
        try (BufferedReader reader = Files.newBufferedReader(file)) {
          read(String.valueOf(file.getFileName()), reader, lines);
        }
      }
    } catch (IOException e) {
      throw new CommandFailure(CommandFailure.UNREACHABLE, e.toString());
    }
    List<Line> story = story(lines);
    if (story.isEmpty()) {
      throw new CommandFailure(CommandFailure.NEGATIVE, "no line of request " + id);
    }
    PrintWriter out = spec.commandLine().getOut();
    long start = story.get(0).timeMillis();
    story.forEach(line -> print(out, line, start));
    return 0;
  }

  private void read(String source, BufferedReader reader, List<Line> lines) throws IOException {
    for (String text = reader.readLine(); text != null; text = reader.readLine()) {
      int brace = text.indexOf('{');
      if (brace < 0) {
        continue;
      }
      try {
        JsonNode json = mapper.readTree(text.substring(brace));
        String from = brace == 0 ? source : source + " " + text.substring(0, brace).trim();
        lines.add(new Line(json.path("time_ms").asLong(), from, json));
      } catch (JsonProcessingException e) {
        // Other programs may write to the same stream; their lines tell nothing of requests.
        continue;
      }
    }
  }

  private List<Line> story(List<Line> lines) {
    List<Line> own = lines.stream().filter(line -> line.text("id").equals(id)).toList();
    if (own.isEmpty()) {
      return own;
    }
    Set<String> servers = new HashSet<>();
    long first = Long.MAX_VALUE;
    long last = Long.MIN_VALUE;
    for (Line line : own) {
      servers.add(line.text("server"));
      first = Math.min(first, line.timeMillis() - line.json().path("total_ms").asLong());
      last = Math.max(last, line.timeMillis());
    }
    long from = first - aroundMillis;
    long to = last + aroundMillis;
    List<Line> story = new ArrayList<>(own);
    if (aroundMillis > 0) {
      lines.stream()
          .filter(line -> line.json().path("id").isMissingNode())
          .filter(line -> line.timeMillis() >= from && line.timeMillis() <= to)
          .filter(line -> !line.json().has("server") || servers.contains(line.text("server")))
          .forEach(story::add);
    }
    story.sort(Comparator.comparingLong(Line::timeMillis));
    return story;
  }

  private static void print(PrintWriter out, Line line, long startMillis) {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            "%+8d ms  %s  %s", line.timeMillis() - startMillis, line.source(), line.text("event")));
    for (Map.Entry<String, JsonNode> field : line.json().properties()) {
      if (!LEFT_OUT.contains(field.getKey())) {
        text.append("  ").append(field.getKey()).append('=').append(field.getValue().asText());
      }
    }
    out.println(text);
  }
}
