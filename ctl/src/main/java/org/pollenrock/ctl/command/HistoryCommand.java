package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import org.pollenrock.core.settings.AppliedChange;
import org.pollenrock.core.settings.ChangeOutcome;
import org.pollenrock.core.settings.RefusalReason;
import org.pollenrock.core.settings.SettingsHistory;
import org.pollenrock.ctl.log.LogClient;
import org.pollenrock.ctl.log.SettingsLog;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Prints the changes on the log and what became of them. */
@Command(
    name = "history",
    description = {
      "Prints the changes on the log and what became of each.",
      "When the log has dropped old records: those after the snapshot that stands for them."
    },
    mixinStandardHelpOptions = true)
public final class HistoryCommand implements Callable<Integer> {
  private static final int SHOWN_PATHS = 5;

  @Mixin private OutputOptions output;
  @Mixin private LogOptions logOptions;

  @Option(
      names = "--limit",
      paramLabel = "COUNT",
      defaultValue = "50",
      description = "Greatest number of changes, the newest (default: ${DEFAULT-VALUE}).")
  private int limit;

  @Override
  public Integer call() throws Exception {
    LogClient client = logOptions.open();
    SettingsLog log = LogOptions.read(client);
    SettingsHistory history = log.history();
    List<AppliedChange> all = log.changes();
    List<AppliedChange> changes =
        all.subList(Math.max(0, all.size() - Math.max(0, limit)), all.size());
    ObjectNode json =
        output
            .object()
            .put("revision", history.revision())
            .put("digest", history.digest().toString())
            .put("corrupt_records", history.corruptRecords());
    ArrayNode array = json.putArray("changes");
    changes.forEach(change -> addChange(array.addObject(), change));
    output.print(
        json,
        out -> {
          changes.forEach(change -> print(out, change));
          out.printf("revision %d digest %s%n", history.revision(), history.digest());
        });
    return 0;
  }

  private static void addChange(ObjectNode json, AppliedChange applied) {
    json.put("offset", applied.record().offset())
        .put("time", time(applied))
        .put("id", applied.change().id().toString())
        .put("author", applied.change().author())
        .put("base", applied.change().base())
        .put("repeated", applied.repeated())
        .put("accepted", applied.outcome() instanceof ChangeOutcome.Accepted);
    if (applied.outcome() instanceof ChangeOutcome.Refused refused) {
      json.put("reason", refused.reason().wireName()).put("detail", refused.detail());
    }
    EditPrinter.addAll(json.putArray("edits"), applied.change().edits());
  }

  private static void print(PrintWriter out, AppliedChange applied) {
    String result =
        switch (applied.outcome()) {
          case ChangeOutcome.Accepted accepted -> "accepted";
          case ChangeOutcome.Refused(long offset, RefusalReason reason, String detail) ->
              "refused (" + reason.wireName() + ": " + detail + ")";
        };
    String repeated = applied.repeated() ? " as before, repeated" : "";
    out.printf(
        "%d %s %s %s %s%s%n",
        applied.record().offset(),
        time(applied),
        applied.change().author(),
        paths(applied),
        result,
        repeated);
  }

  private static String paths(AppliedChange applied) {
    String shown =
        applied.change().edits().stream()
            .limit(SHOWN_PATHS)
            .map(edit -> edit.path().depth() == 0 ? "(whole tree)" : edit.path().toString())
            .collect(Collectors.joining(","));
    int more = applied.change().edits().size() - SHOWN_PATHS;
    return more > 0 ? shown + ",+" + more : shown;
  }

  private static String time(AppliedChange applied) {
    return Instant.ofEpochMilli(applied.record().timeMillis()).toString();
  }
}
