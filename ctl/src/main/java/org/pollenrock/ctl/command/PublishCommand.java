package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.pollenrock.core.settings.ChangeOutcome;
import org.pollenrock.core.settings.RefusalReason;
import org.pollenrock.core.settings.SettingsChange;
import org.pollenrock.core.settings.SettingsEdit;
import org.pollenrock.core.settings.SettingsHistory;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsPath;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.core.settings.TreeDiff;
import org.pollenrock.ctl.log.LogClient;
import org.pollenrock.ctl.log.LogException;
import org.pollenrock.ctl.log.Publisher;
import org.pollenrock.ctl.log.SettingsLog;
import org.pollenrock.settings.ReadResult;
import org.pollenrock.settings.SettingsError;
import org.pollenrock.settings.SettingsReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Publishes a change and prints whether it was accepted. */
@Command(
    name = "publish",
    description = {
      "Publishes a change on the log and prints whether it was accepted, or refused and why.",
      "The change is either what leads from the base to FILE, or the given --set and --remove.",
      "FILE needs a base: its first line as show prints it, or --base. On an empty log it needs"
          + " none.",
      "Repeated with the same --id it is one change."
    },
    mixinStandardHelpOptions = true)
public final class PublishCommand implements Callable<Integer> {
  @Mixin private OutputOptions output;
  @Mixin private LogOptions logOptions;

  @Option(
      names = "--base",
      paramLabel = "REVISION",
      description =
          "Revision or log offset against which the change was made (default: the base line of"
              + " FILE; for --set and --remove the end of the log).")
  private Long base;

  @Option(
      names = "--id",
      paramLabel = "UUID",
      description = "Id of the change (default: a new one).")
  private UUID id;

  @Option(
      names = "--author",
      paramLabel = "NAME",
      defaultValue = "${sys:user.name}",
      description = "Who publishes (default: the system user).")
  private String author;

  @Option(names = "--set", paramLabel = "PATH=VALUE", description = "Sets a path; YAML value.")
  private Map<String, String> puts = Map.of();

  @Option(names = "--remove", paramLabel = "PATH", description = "Removes a path.")
  private List<String> removals = List.of();

  @Option(
      names = "--wait",
      paramLabel = "DURATION",
      converter = DurationConverter.class,
      defaultValue = "5s",
      description =
          "How long to wait after each of up to three appends for the record to appear (default:"
              + " ${DEFAULT-VALUE}).")
  private Duration wait;

  @Option(names = "--dry-run", description = "Prints the edits and publishes nothing.")
  private boolean dryRun;

  @Parameters(arity = "0..1", paramLabel = "FILE", description = "The complete settings to reach.")
  private Path file;

  @Override
  public Integer call() throws Exception {
    if ((file == null) == (puts.isEmpty() && removals.isEmpty())) {
      throw new CommandFailure(CommandFailure.USAGE, "give either FILE or --set and --remove");
    }
    LogClient client = logOptions.open();
    SettingsLog log = LogOptions.read(client);
    UUID changeId = id != null ? id : UUID.randomUUID();
    Optional<ChangeOutcome> earlier = log.history().outcomeOf(changeId);
    return earlier.isPresent()
        ? report(changeId, earlier.get(), true)
        : publish(client, log, changeId);
  }

  private int publish(LogClient client, SettingsLog log, UUID changeId)
      throws CommandFailure, LogException, InterruptedException {
    long changeBase = file != null ? fileBase(log) : directBase(log);
    List<SettingsEdit> edits =
        file != null
            ? TreeDiff.edits(treeAt(client, log, changeBase), SettingsFiles.tree(file))
            : directEdits();
    if (dryRun || edits.isEmpty()) {
      ObjectNode json = output.object().put("published", false).put("base", changeBase);
      EditPrinter.addAll(json.putArray("edits"), edits);
      output.print(
          json,
          out -> {
            EditPrinter.print(out, edits);
            out.println(edits.isEmpty() ? "no change" : "not published (dry run)");
          });
      return 0;
    }
    SettingsChange change = new SettingsChange(changeId, author, changeBase, edits);
    Optional<ChangeOutcome> outcome = new Publisher(client, log, wait).publish(change);
    if (outcome.isEmpty()) {
      throw new CommandFailure(
          CommandFailure.UNKNOWN,
          "the change may take effect; repeat the command with --id " + changeId);
    }
    return report(changeId, outcome.get(), false);
  }

  private long directBase(SettingsLog log) {
    return base != null ? base : log.history().next() - 1;
  }

  private long fileBase(SettingsLog log) throws CommandFailure {
    if (base != null) {
      return base;
    }
    OptionalLong written = BaseComment.find(SettingsFiles.text(file));
    if (written.isPresent()) {
      return written.getAsLong();
    }
    if (log.history().revision() == SettingsHistory.NO_REVISION) {
      return log.history().next() - 1;
    }
    throw new CommandFailure(
        CommandFailure.USAGE,
        "the file has no base line; give --base with the revision it was made against (the log is"
            + " at revision "
            + log.history().revision()
            + ")");
  }

  /** The tree that the author saw: edits are what the author changed, not what others changed. */
  private static SettingsTree treeAt(LogClient client, SettingsLog log, long changeBase)
      throws CommandFailure, LogException, InterruptedException {
    if (changeBase >= log.history().revision()) {
      return log.history().tree();
    }
    SettingsLog past = new SettingsLog(client);
    past.readUpTo(changeBase + 1);
    if (past.history().next() != changeBase + 1) {
      throw new CommandFailure(
          CommandFailure.NEGATIVE, "the log no longer has the settings at base " + changeBase);
    }
    return past.history().tree();
  }

  private List<SettingsEdit> directEdits() throws CommandFailure {
    List<SettingsEdit> edits = new ArrayList<>();
    for (String path : removals) {
      edits.add(new SettingsEdit.Remove(SettingsPath.parse(path)));
    }
    for (Map.Entry<String, String> put : puts.entrySet()) {
      edits.add(new SettingsEdit.Put(SettingsPath.parse(put.getKey()), value(put)));
    }
    return edits;
  }

  private static SettingsNode value(Map.Entry<String, String> put) throws CommandFailure {
    return switch (SettingsReader.readNode(put.getKey(), put.getValue())) {
      case ReadResult.Valid<SettingsNode>(SettingsNode node) -> node;
      case ReadResult.Invalid<SettingsNode>(List<SettingsError> errors) ->
          throw new CommandFailure(CommandFailure.USAGE, errors.getFirst().toString());
    };
  }

  private int report(UUID changeId, ChangeOutcome outcome, boolean repeated) {
    ObjectNode json =
        output
            .object()
            .put("published", true)
            .put("id", changeId.toString())
            .put("offset", outcome.offset())
            .put("repeated", repeated);
    return switch (outcome) {
      case ChangeOutcome.Accepted accepted -> {
        json.put("accepted", true).put("revision", accepted.offset());
        output.print(json, out -> out.println("accepted as revision " + accepted.offset()));
        yield 0;
      }
      case ChangeOutcome.Refused(long offset, RefusalReason reason, String detail) -> {
        json.put("accepted", false).put("reason", reason.wireName()).put("detail", detail);
        output.print(json, out -> out.println("refused (" + reason.wireName() + "): " + detail));
        yield CommandFailure.NEGATIVE;
      }
    };
  }
}
