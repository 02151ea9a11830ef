package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** Prints why a router placed a request where it did. */
@Command(
    name = "explain",
    description = "Prints the candidates of a recent placement with their costs.",
    mixinStandardHelpOptions = true)
public final class ExplainCommand implements Callable<Integer> {
  @Mixin private OutputOptions output;
  @Mixin private RouterOptions router;

  @Parameters(
      arity = "0..1",
      paramLabel = "REQUEST",
      description = "Identity of the request (default: the latest one).")
  private String request;

  @Override
  public Integer call() throws CommandFailure, InterruptedException {
    String query =
        request == null ? "" : "?request=" + URLEncoder.encode(request, StandardCharsets.UTF_8);
    JsonNode explanation = router.get("/explain" + query);
    output.print(explanation, out -> JsonText.print(out, explanation));
    return 0;
  }
}
