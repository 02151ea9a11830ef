package org.pollenrock.router.filter;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.pollenrock.core.model.ModelId;

/** Body of the list of models. */
final class ModelListBody {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ModelListBody() {}

  static byte[] of(List<ModelId> models) {
    ObjectNode root = MAPPER.createObjectNode();
    root.put("object", "list");
    ArrayNode data = root.putArray("data");
    for (ModelId model : models) {
      data.addObject().put("id", model.value()).put("object", "model");
    }
    return root.toString().getBytes(StandardCharsets.UTF_8);
  }
}
