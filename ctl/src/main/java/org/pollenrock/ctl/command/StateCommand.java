package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Prints the state of a router. */
@Command(
    name = "state",
    description = "Prints the state of a router: revision, servers, peers, queues.",
    mixinStandardHelpOptions = true)
public final class StateCommand implements Callable<Integer> {
  @Mixin private OutputOptions output;
  @Mixin private RouterOptions router;

  @Override
  public Integer call() throws CommandFailure, InterruptedException {
    JsonNode state = router.get("/state");
    output.print(state, out -> JsonText.print(out, state));
    return 0;
  }
}
