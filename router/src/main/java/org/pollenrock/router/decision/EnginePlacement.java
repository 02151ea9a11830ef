package org.pollenrock.router.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.pollenrock.adapters.engine.EngineAddress;
import org.pollenrock.adapters.engine.EngineHead;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.RequestError;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.core.placement.Candidate;
import org.pollenrock.core.placement.NoServerReason;
import org.pollenrock.core.placement.PlacementResult;
import org.pollenrock.core.placement.Placer;
import org.pollenrock.core.placement.ServedModel;
import org.pollenrock.core.placement.ServerLoad;
import org.pollenrock.core.placement.ServerReport;
import org.pollenrock.core.stream.BrokenStream;
import org.pollenrock.core.stream.ResumeCandidate;
import org.pollenrock.core.stream.ResumeDecision;
import org.pollenrock.core.stream.ResumePlanner;

/** Placement of model requests; confined to the decision thread. */
final class EnginePlacement {
  /**
   * A crashed server costs a stream two breaks, the lost connection and the refused resumption.
   * With 4 breaks, a stream that met two crashed servers in turn was interrupted.
   */
  private static final int MAX_BREAKS = 16;

  private static final int EXPLANATIONS_KEPT = 256;

  private final Placer placer;
  private final ServerDirectory directory;
  private final ServerHealthBook health;
  private final ResumePlanner planner = new ResumePlanner(MAX_BREAKS);
  private final Deque<Explanation> explanations = new ArrayDeque<>();
  private final Map<BackendServerId, Incarnation> incarnations = new HashMap<>();

  EnginePlacement(Placer placer, ServerDirectory directory, ServerHealthBook health) {
    this.placer = placer;
    this.directory = directory;
    this.health = health;
  }

  Result<Choice.Engine> choose(EngineQuestion question, long nowNanos) {
    PlacementResult result = place(question, Optional.empty(), nowNanos);
    return switch (result) {
      case PlacementResult.Chosen chosen -> sendTo(question, chosen, nowNanos);
      case PlacementResult.NoServer(NoServerReason reason) -> Result.failure(noServer(reason));
    };
  }

  /** Leaves servers that failed for the request out, unless there is no other. */
  private PlacementResult place(
      EngineQuestion question, Optional<WeightsVersion> weights, long nowNanos) {
    Set<BackendServerId> unusable = directory.unusable();
    unusable.addAll(health.excluded(group(question.model()), nowNanos));
    Set<BackendServerId> excluded = new HashSet<>(unusable);
    excluded.addAll(question.avoided());
    PlacementResult first = placer.place(question.placement(excluded, weights), nowNanos);
    if (first instanceof PlacementResult.Chosen || question.avoided().isEmpty()) {
      return first;
    }
    return placer.place(question.placement(unusable, weights), nowNanos);
  }

  private Result<Choice.Engine> sendTo(
      EngineQuestion question, PlacementResult.Chosen chosen, long nowNanos) {
    Optional<ServerEntry> entry = directory.find(chosen.server());
    if (entry.isEmpty()) {
      return Result.failure(noServer(NoServerReason.NONE_ACCEPTING));
    }
    placer.recordSent(chosen, nowNanos);
    health.chosen(group(question.model()), chosen.server(), nowNanos);
    explain(question, chosen);
    return Result.success(
        new Choice.Engine(new EngineAddress(chosen.server(), entry.get().address()), chosen));
  }

  private void explain(EngineQuestion question, PlacementResult.Chosen chosen) {
    if (explanations.size() == EXPLANATIONS_KEPT) {
      explanations.removeLast();
    }
    explanations.addFirst(
        new Explanation(
            question.requestId(),
            chosen.server(),
            chosen.expectedCachedTokens(),
            chosen.request().promptTokens(),
            chosen.candidates()));
  }

  ResumeAnswer resume(EngineQuestion question, BrokenStream broken, long nowNanos) {
    PlacementResult result = place(question, Optional.of(broken.weights()), nowNanos);
    List<ResumeCandidate> candidates = new ArrayList<>();
    placer
        .load(broken.server())
        .filter(load -> !directory.isSuspect(broken.server()))
        .ifPresent(load -> candidates.add(sameServer(load, broken)));
    for (Candidate candidate : result.candidates()) {
      candidates.add(
          new ResumeCandidate(
              candidate.server(), candidate.incarnation(), candidate.weights(), true, true));
    }
    ResumeDecision decision = planner.plan(broken, candidates);
    boolean another =
        decision instanceof ResumeDecision.ContinueInNewRun next
            && result instanceof PlacementResult.Chosen chosen
            && chosen.server().equals(next.server());
    if (another
        && sendTo(question, (PlacementResult.Chosen) result, nowNanos)
            instanceof Result.Success<Choice.Engine>(Choice.Engine choice)) {
      return new ResumeAnswer(decision, Optional.of(choice));
    }
    return new ResumeAnswer(decision, Optional.empty());
  }

  private static ResumeCandidate sameServer(ServerLoad load, BrokenStream broken) {
    return new ResumeCandidate(broken.server(), load.incarnation(), broken.weights(), false, true);
  }

  void answered(Choice.Engine choice, EngineHead head, long nowNanos) {
    PlacementResult.Chosen chosen = choice.placement();
    placer.recordFirstToken(
        chosen.id(),
        head.incarnation().orElse(chosen.incarnation()),
        head.weights().orElse(chosen.weights()),
        (int) Math.min(Integer.MAX_VALUE, head.cachedTokens()),
        nowNanos);
  }

  void ended(Choice.Engine choice, AttemptEnd end, long nowNanos) {
    PlacementResult.Chosen chosen = choice.placement();
    if (end == AttemptEnd.COMPLETED) {
      placer.recordCompletion(chosen.id(), nowNanos);
    } else {
      placer.recordFailure(chosen.id());
    }
    if (end == AttemptEnd.COMPLETED || end == AttemptEnd.FAILED) {
      String group = group(chosen.request().model());
      health.observe(group, chosen.server(), end == AttemptEnd.COMPLETED, nowNanos);
    }
  }

  /** Takes the identity and state that a refusal named. */
  void refused(BackendServerId server, EngineHead head, long nowNanos) {
    head.incarnation()
        .ifPresent(
            incarnation -> {
              incarnationSeen(server, incarnation, nowNanos);
              if (head.leaving()) {
                directory.refusedLeaving(server, incarnation);
                placer.markServerLeaving(server, incarnation);
              }
            });
  }

  void report(ServerReport report, long nowNanos) {
    incarnationSeen(report.server(), report.incarnation(), nowNanos);
    placer.applyReport(report, nowNanos);
  }

  private void incarnationSeen(BackendServerId server, Incarnation incarnation, long nowNanos) {
    if (!placer.observeIncarnation(server, incarnation)) {
      return;
    }
    Incarnation before = incarnations.put(server, incarnation);
    if (before != null && incarnation.isAfter(before)) {
      health.restarted(server, nowNanos);
    }
  }

  void gone(BackendServerId server) {
    placer.removeServer(server);
    incarnations.remove(server);
  }

  /** Servers that report a model, whether or not they accept requests now. */
  List<ServerLoad> servers(ModelId model) {
    List<ServerLoad> found = new ArrayList<>();
    for (ServerEntry entry : directory.all()) {
      placer
          .load(entry.id())
          .filter(load -> load.models().stream().map(ServedModel::model).anyMatch(model::equals))
          .ifPresent(found::add);
    }
    return found;
  }

  List<Explanation> explanations() {
    return List.copyOf(explanations);
  }

  Placer placer() {
    return placer;
  }

  static String group(ModelId model) {
    return "model " + model;
  }

  private static RequestError noServer(NoServerReason reason) {
    String message =
        switch (reason) {
          case MODEL_NOT_SERVED -> "no live server serves the model";
          case NONE_ACCEPTING -> "no server of the model accepts requests now";
          case ADAPTER_NOT_LOADED -> "no server has the adapter loaded";
          case WEIGHTS_NOT_SERVED -> "no server serves the weights version";
          case ALL_EXCLUDED -> "all servers of the model failed";
        };
    return new RequestError.Refusal(ErrorCode.NO_SERVER, Step.CHOOSE, Optional.empty(), message);
  }
}
