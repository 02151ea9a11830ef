package org.pollenrock.settings;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.pollenrock.core.settings.BranchReader;
import org.pollenrock.core.settings.NameTable;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsPath;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.Mark;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;
import org.yaml.snakeyaml.nodes.Tag;

/**
 * Reads YAML into plain nodes and keeps the place of each entry.
 *
 * <p>Only the node graph of the YAML library is used, so that a document can construct no object.
 * Size, nesting, aliases and the number of nodes after expansion of aliases are bounded: a short
 * document of nested aliases would otherwise expand to billions of nodes.
 */
final class YamlReader {
  /** Greatest length of a document in characters; 10,000 customers take about 4 million. */
  static final int MAX_CHARACTERS = 16 * 1024 * 1024;

  private static final int MAX_NODES = 1_000_000;
  private static final int MAX_ALIASES = 100;
  private static final int MAX_ERRORS = 100;
  private static final Set<Tag> TAGS =
      Set.of(
          Tag.STR,
          Tag.INT,
          Tag.FLOAT,
          Tag.BOOL,
          Tag.TIMESTAMP,
          Tag.NULL,
          Tag.MERGE,
          Tag.MAP,
          Tag.SEQ);

  private final String file;
  private final Map<SettingsPath, YamlDocument.Place> places = new HashMap<>();
  private final List<SettingsError> errors = new ArrayList<>();
  private int nodes;

  private YamlReader(String file) {
    this.file = Objects.requireNonNull(file, "file");
  }

  static ReadResult<YamlDocument> read(String file, String text) {
    return new YamlReader(file).read(text);
  }

  private ReadResult<YamlDocument> read(String text) {
    if (text.length() > MAX_CHARACTERS) {
      return failure(1, 1, "the document is longer than " + MAX_CHARACTERS + " characters");
    }
    Node root;
    try {
      root = new Yaml(options()).compose(new StringReader(text));
    } catch (MarkedYAMLException e) {
      Mark mark = e.getProblemMark();
      return mark == null
          ? failure(1, 1, "malformed YAML: " + e.getProblem())
          : failure(mark.getLine() + 1, mark.getColumn() + 1, "malformed YAML: " + e.getProblem());
    } catch (RuntimeException e) {
      // The library reports some malformed input, such as invalid code points, by other exceptions.
      return failure(1, 1, "malformed YAML: " + firstLine(e));
    }
    if (root == null) {
      return new ReadResult.Valid<>(
          new YamlDocument(file, SettingsNode.Branch.EMPTY, Map.copyOf(places)));
    }
    SettingsNode converted = convert(SettingsPath.ROOT, root);
    return errors.isEmpty()
        ? new ReadResult.Valid<>(new YamlDocument(file, converted, places))
        : new ReadResult.Invalid<>(errors);
  }

  private static LoaderOptions options() {
    LoaderOptions options = new LoaderOptions();
    options.setAllowRecursiveKeys(false);
    options.setCodePointLimit(MAX_CHARACTERS);
    options.setMaxAliasesForCollections(MAX_ALIASES);
    options.setNestingDepthLimit(2 * SettingsPath.MAX_SEGMENTS);
    return options;
  }

  private static String firstLine(RuntimeException e) {
    return String.valueOf(e.getMessage()).lines().findFirst().orElse("unreadable");
  }

  private ReadResult<YamlDocument> failure(int line, int column, String message) {
    return new ReadResult.Invalid<>(
        List.of(new SettingsError(file, line, column, SettingsPath.ROOT, message)));
  }

  private void error(SettingsPath path, Node node, String message) {
    if (errors.size() < MAX_ERRORS) {
      YamlDocument.Place place = place(node);
      errors.add(new SettingsError(file, place.line(), place.column(), path, message));
    }
  }

  private static YamlDocument.Place place(Node node) {
    Mark mark = node.getStartMark();
    return new YamlDocument.Place(mark.getLine() + 1, mark.getColumn() + 1);
  }

  private SettingsNode convert(SettingsPath path, Node node) {
    nodes++;
    if (nodes > MAX_NODES) {
      if (nodes == MAX_NODES + 1) {
        error(path, node, "the document has more than " + MAX_NODES + " nodes");
      }
      return SettingsNode.Branch.EMPTY;
    }
    if (path.depth() >= SettingsPath.MAX_SEGMENTS) {
      error(path, node, "nested deeper than " + SettingsPath.MAX_SEGMENTS + " levels");
      return SettingsNode.Branch.EMPTY;
    }
    if (!TAGS.contains(node.getTag())) {
      error(path, node, "the tag " + node.getTag().getValue() + " is not permitted");
    }
    places.putIfAbsent(path, place(node));
    return switch (node) {
      case MappingNode mapping -> convertMapping(path, mapping);
      case SequenceNode sequence -> convertSequence(path, sequence);
      case ScalarNode scalar -> convertScalar(path, scalar);
      default -> throw new IllegalStateException("node " + node.getNodeId());
    };
  }

  private SettingsNode convertMapping(SettingsPath path, MappingNode mapping) {
    TreeMap<String, SettingsNode> entries = new TreeMap<>();
    for (NodeTuple tuple : mapping.getValue()) {
      if (nodes > MAX_NODES) {
        break;
      }
      Node keyNode = tuple.getKeyNode();
      if (!(keyNode instanceof ScalarNode scalar) || !validKey(scalar)) {
        error(path, keyNode, "a key is a text of 1 to " + BranchReader.MAX_TEXT + " characters");
        continue;
      }
      String key = scalar.getValue();
      SettingsPath at = path.child(key);
      if (entries.containsKey(key)) {
        error(at, keyNode, "duplicate key, first used on line " + places.get(at).line());
        continue;
      }
      places.put(at, place(keyNode));
      entries.put(key, convert(at, tuple.getValueNode()));
    }
    return new SettingsNode.Branch(NameTable.copyOf(entries));
  }

  private static boolean validKey(ScalarNode scalar) {
    return !scalar.getValue().isEmpty() && scalar.getValue().length() <= BranchReader.MAX_TEXT;
  }

  private SettingsNode convertSequence(SettingsPath path, SequenceNode sequence) {
    List<SettingsNode> elements = new ArrayList<>();
    for (Node element : sequence.getValue()) {
      if (nodes > MAX_NODES) {
        break;
      }
      elements.add(convert(path.child(Integer.toString(elements.size())), element));
    }
    return new SettingsNode.Items(elements);
  }

  private SettingsNode convertScalar(SettingsPath path, ScalarNode scalar) {
    if (scalar.getTag().equals(Tag.NULL)) {
      error(path, scalar, "the value is missing; write {} for no entries");
    }
    return new SettingsNode.Text(scalar.getValue());
  }
}
