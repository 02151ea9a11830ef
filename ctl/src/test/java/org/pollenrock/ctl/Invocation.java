package org.pollenrock.ctl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;

/** One command run in process: its exit code and output. */
record Invocation(int code, String out, String err) {
  static Invocation run(String... args) {
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    int code = Pollenrockctl.execute(new PrintWriter(out), new PrintWriter(err), args);
    return new Invocation(code, out.toString(), err.toString());
  }

  JsonNode json() {
    try {
      return new ObjectMapper().readTree(out);
    } catch (JsonProcessingException e) {
      throw new AssertionError(out + err, e);
    }
  }
}
