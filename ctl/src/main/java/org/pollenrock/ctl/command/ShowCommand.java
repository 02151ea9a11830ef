package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.RequestKind;
import org.pollenrock.core.settings.EffectiveSettings;
import org.pollenrock.core.settings.SettingKey;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsPath;
import org.pollenrock.core.settings.TreeWriter;
import org.pollenrock.settings.SettingsWriter;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints settings at a path, with the branch from which each effective value comes. */
@Command(
    name = "show",
    description = {
      "Prints settings.",
      "At root, a kind, a customer, a caller or a kind of these: every effective value and the"
          + " branch that sets it. At any other path, or with --plain: what the tree has there.",
      "Without a path the whole tree, as a file that publish takes back."
    },
    mixinStandardHelpOptions = true)
public final class ShowCommand implements Callable<Integer> {
  @Mixin private OutputOptions output;
  @Mixin private TreeSource source;

  @Option(names = "--plain", description = "What the tree has at the path, without inheritance.")
  private boolean plain;

  @Parameters(
      arity = "0..1",
      paramLabel = "PATH",
      defaultValue = "",
      description = "Such as customers/acme/callers/web/kinds/short.")
  private String path;

  @Override
  public Integer call() throws Exception {
    SettingsPath at = SettingsPath.parse(path);
    TreeSource.Loaded loaded = source.load();
    Optional<BranchPath> branch =
        plain ? Optional.empty() : BranchPath.of(at).filter(found -> found.existsIn(loaded.tree()));
    if (branch.isPresent()) {
      printEffective(loaded, branch.get());
      return 0;
    }
    Optional<SettingsNode> node = find(TreeWriter.write(loaded.tree()), at);
    if (node.isEmpty()) {
      throw new CommandFailure(CommandFailure.NEGATIVE, "the tree has nothing at " + at);
    }
    printPlain(loaded, node.get());
    return 0;
  }

  private static Optional<SettingsNode> find(SettingsNode node, SettingsPath path) {
    Optional<SettingsNode> found = Optional.of(node);
    for (String segment : path.segments()) {
      found = found.flatMap(holder -> child(holder, segment));
    }
    return found;
  }

  private static Optional<SettingsNode> child(SettingsNode node, String name) {
    return node instanceof SettingsNode.Branch branch
        ? branch.entries().find(name)
        : Optional.empty();
  }

  private void printPlain(TreeSource.Loaded loaded, SettingsNode node) {
    ObjectNode json =
        output
            .object()
            .put("revision", loaded.revision())
            .put("base", loaded.base())
            .set("settings", SettingsWriter.json(node));
    output.print(
        json,
        out -> {
          out.println(BaseComment.line(loaded.base()));
          out.print(SettingsWriter.yaml(node));
        });
  }

  private void printEffective(TreeSource.Loaded loaded, BranchPath branch) {
    EffectiveSettings effective =
        EffectiveSettings.resolve(
            loaded.tree(),
            branch.customer().map(CustomerId::new),
            branch.caller().map(CallerId::new),
            branch.kind().map(RequestKind::new));
    ObjectNode json = output.object().put("revision", loaded.revision());
    ObjectNode values = json.putObject("values");
    for (SettingKey key : SettingKey.all()) {
      values
          .putObject(key.path().toString())
          .put("value", effective.text(key))
          .put("source", source(effective, key));
    }
    output.print(
        json,
        out -> {
          for (SettingKey key : SettingKey.all()) {
            out.printf("%-32s %-12s %s%n", key.path(), effective.text(key), source(effective, key));
          }
        });
  }

  private static String source(EffectiveSettings effective, SettingKey key) {
    return effective.source(key).map(SettingsPath::toString).orElse("default");
  }
}
