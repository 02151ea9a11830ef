package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.List;
import org.pollenrock.core.settings.SettingsEdit;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsPath;
import org.pollenrock.settings.SettingsWriter;

/** Prints edits. */
final class EditPrinter {
  private EditPrinter() {}

  static void addAll(ArrayNode array, List<SettingsEdit> edits) {
    for (SettingsEdit edit : edits) {
      ObjectNode json = array.addObject().put("path", edit.path().toString());
      switch (edit) {
        case SettingsEdit.Put put -> json.set("put", SettingsWriter.json(put.value()));
        case SettingsEdit.Remove remove -> json.put("remove", true);
      }
    }
  }

  static void print(PrintWriter out, List<SettingsEdit> edits) {
    for (SettingsEdit edit : edits) {
      switch (edit) {
        case SettingsEdit.Put(SettingsPath path, SettingsNode.Text(String value)) ->
            out.println("set " + path + " = " + value);
        case SettingsEdit.Put(SettingsPath path, SettingsNode value) ->
            out.println("set " + path + " = " + SettingsWriter.json(value));
        case SettingsEdit.Remove(SettingsPath path) -> out.println("remove " + path);
      }
    }
  }
}
