package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;

/** Prints a JSON document as indented text. */
final class JsonText {
  private static final String INDENT = "  ";

  private JsonText() {}

  static void print(PrintWriter out, JsonNode node) {
    print(out, node, "");
  }

  private static void print(PrintWriter out, JsonNode node, String indent) {
    if (node.isObject()) {
      node.properties().forEach(entry -> printEntry(out, entry.getKey(), entry.getValue(), indent));
    } else if (node.isArray()) {
      node.forEach(element -> printEntry(out, "-", element, indent));
    } else {
      out.println(indent + node.asText());
    }
  }

  private static void printEntry(PrintWriter out, String name, JsonNode value, String indent) {
    String label = name.equals("-") ? name : name + ":";
    if (value.isValueNode()) {
      out.println(indent + label + " " + value.asText());
    } else {
      out.println(indent + label);
      print(out, value, indent + INDENT);
    }
  }
}
