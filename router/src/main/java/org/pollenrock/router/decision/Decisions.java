package org.pollenrock.router.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.pollenrock.adapters.engine.EngineAddress;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.ServerRole;

/** Questions to the decision task; answers arrive on its thread. */
public final class Decisions {
  private static final int AFFINITY_BYTES = 4096;

  private final DecisionTask task;
  private List<ServerEntry> servers = List.of();
  private int rotation;

  /**
   * Creates the state, empty at first.
   *
   * @param name name of the thread
   * @param mailboxSize most questions that wait
   */
  public Decisions(String name, int mailboxSize) {
    this.task = new DecisionTask(name, mailboxSize, 10_000_000L, () -> {});
  }

  /** Starts answering. */
  public void start() {
    task.start();
  }

  /** Stops answering. */
  public void stop() {
    task.stop();
  }

  /**
   * Replaces the known servers.
   *
   * @param entries the servers
   */
  public void servers(List<ServerEntry> entries) {
    task.tell(() -> servers = List.copyOf(entries));
  }

  /**
   * Chooses an engine.
   *
   * @param customer whose request it is
   * @param prompt canonical prompt
   * @param avoided servers that failed already
   * @param reply receives the choice on the decision thread
   * @return false when too many questions wait
   */
  public boolean chooseEngine(
      CustomerId customer,
      byte[] prompt,
      Set<BackendServerId> avoided,
      Consumer<Result<Choice>> reply) {
    int affinity =
        31 * customer.hashCode()
            + Arrays.hashCode(Arrays.copyOf(prompt, Math.min(prompt.length, AFFINITY_BYTES)));
    return task.ask(
        () ->
            reply.accept(
                candidates(ServerRole.MODEL_SERVER, "", avoided).stream()
                    .max(Comparator.comparingInt(e -> (affinity + e.id().hashCode()) * 0x9E3779B9))
                    .<Result<Choice>>map(
                        entry ->
                            Result.success(
                                new Choice.Engine(
                                    new EngineAddress(entry.id(), entry.address()),
                                    Optional.empty(),
                                    Optional.empty(),
                                    List.of())))
                    .orElseGet(Decisions::noServer)));
  }

  /**
   * Chooses a plain server.
   *
   * @param service its service
   * @param avoided servers that failed already
   * @param reply receives the choice on the decision thread
   * @return false when too many questions wait
   */
  public boolean choosePlain(
      String service, Set<BackendServerId> avoided, Consumer<Result<Choice>> reply) {
    return task.ask(
        () -> {
          List<ServerEntry> found = candidates(ServerRole.PLAIN_SERVER, service, avoided);
          if (found.isEmpty()) {
            reply.accept(noServer());
            return;
          }
          rotation++;
          ServerEntry entry = found.get(Math.floorMod(rotation, found.size()));
          reply.accept(Result.success(new Choice.Plain(entry.id(), entry.address())));
        });
  }

  private List<ServerEntry> candidates(
      ServerRole role, String service, Set<BackendServerId> avoided) {
    List<ServerEntry> found = new ArrayList<>();
    for (ServerEntry entry : servers) {
      boolean matches =
          entry.role() == role
              && !entry.leaving()
              && (service.isEmpty() || entry.service().equals(service));
      if (matches && !avoided.contains(entry.id())) {
        found.add(entry);
      }
    }
    return found;
  }

  private static Result<Choice> noServer() {
    return Result.failure(
        new RequestError.Refusal(
            ErrorCode.NO_SERVER,
            Step.CHOOSE,
            Optional.empty(),
            "no live server can serve the request"));
  }
}
