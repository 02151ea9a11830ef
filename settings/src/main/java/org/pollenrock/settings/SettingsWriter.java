package org.pollenrock.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.core.settings.TreeWriter;
import org.yaml.snakeyaml.DumperOptions;
import org.yaml.snakeyaml.Yaml;

/** Writes settings as YAML or JSON that {@link SettingsReader} reads back. */
public final class SettingsWriter {
  private static final int LINE_WIDTH = 120;

  private SettingsWriter() {}

  /**
   * Writes a tree as YAML.
   *
   * @param tree the settings
   * @return the text
   */
  public static String yaml(SettingsTree tree) {
    return yaml(TreeWriter.write(tree));
  }

  /**
   * Writes plain settings as YAML.
   *
   * @param node the settings
   * @return the text
   */
  public static String yaml(SettingsNode node) {
    DumperOptions options = new DumperOptions();
    options.setDefaultFlowStyle(DumperOptions.FlowStyle.BLOCK);
    options.setWidth(LINE_WIDTH);
    return new Yaml(options).dump(plain(node));
  }

  private static Object plain(SettingsNode node) {
    return switch (node) {
      case SettingsNode.Text(String value) -> value;
      case SettingsNode.Items(List<SettingsNode> elements) -> plainList(elements);
      case SettingsNode.Branch branch -> plainMap(branch);
    };
  }

  private static List<Object> plainList(List<SettingsNode> elements) {
    List<Object> list = new ArrayList<>();
    elements.forEach(element -> list.add(plain(element)));
    return list;
  }

  private static Map<String, Object> plainMap(SettingsNode.Branch branch) {
    Map<String, Object> map = new LinkedHashMap<>();
    branch.entries().forEach((name, value) -> map.put(name, plain(value)));
    return map;
  }

  /**
   * Writes a tree as JSON.
   *
   * @param tree the settings
   * @return the object
   */
  public static JsonNode json(SettingsTree tree) {
    return json(TreeWriter.write(tree));
  }

  /**
   * Writes plain settings as JSON; every value is a string, as it is in a change.
   *
   * @param node the settings
   * @return the object, array or string
   */
  public static JsonNode json(SettingsNode node) {
    JsonNodeFactory factory = JsonNodeFactory.instance;
    return switch (node) {
      case SettingsNode.Text(String value) -> factory.textNode(value);
      case SettingsNode.Items(List<SettingsNode> elements) -> {
        ArrayNode array = factory.arrayNode();
        elements.forEach(element -> array.add(json(element)));
        yield array;
      }
      case SettingsNode.Branch branch -> {
        ObjectNode object = factory.objectNode();
        branch.entries().forEach((name, value) -> object.set(name, json(value)));
        yield object;
      }
    };
  }
}
