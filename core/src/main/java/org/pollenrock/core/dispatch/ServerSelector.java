package org.pollenrock.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Chooses the server of a request.
 *
 * <p>Requests with a prompt go by rendezvous hashing of its shared beginning with bounded loads, so
 * that all instances agree on where it is cached without talking. Plain requests go to the least
 * loaded server, in their own data centre while one there has a free slot. Servers that are silent
 * or fail often are avoided while there are others, and tried now and then.
 */
public final class ServerSelector {
  /** Requests that one server holds at most, as a multiple of those that it runs at once. */
  private static final double FULL_FACTOR = 1.5;

  /** Slots assumed of a server that has not told its number. */
  private static final int ASSUMED_SLOTS = 4;

  private final SelectorSettings settings;

  /**
   * Creates a selector.
   *
   * @param settings its bounds
   */
  public ServerSelector(SelectorSettings settings) {
    this.settings = settings;
  }

  /**
   * Chooses a server.
   *
   * @param request the request
   * @param servers servers of its service that take new requests
   * @param tried identities of servers that failed the request before
   * @param wantedWeights version of the weights that servers should have, if one is named
   * @param nowNanos current time
   * @return the choice
   */
  public Selection select(
      DispatchRequest request,
      List<Backend> servers,
      Set<String> tried,
      OptionalLong wantedWeights,
      long nowNanos) {
    List<Backend> able = new ArrayList<>(servers.size());
    for (Backend server : servers) {
      if (request.prompt().isEmpty() || server.serves(request.prompt().get().model())) {
        able.add(server);
      }
    }
    if (able.isEmpty()) {
      return new Selection.NoServer();
    }
    List<Backend> untried = without(able, tried);
    List<Backend> open = new ArrayList<>();
    List<Backend> avoided = new ArrayList<>();
    for (Backend server : untried.isEmpty() ? able : untried) {
      if (server.paused(nowNanos) || full(server, nowNanos)) {
        continue;
      }
      (avoid(server, nowNanos) ? avoided : open).add(server);
    }
    if (request.repeatable()) {
      for (Backend server : avoided) {
        if (!open.isEmpty() && server.tryProbe(settings.probeNanos(), nowNanos)) {
          return new Selection.Chosen(server, Selection.Reason.PROBE);
        }
      }
    }
    if (open.isEmpty()) {
      return lastResort(avoided, nowNanos);
    }
    return request.prompt().isPresent()
        ? byPrompt(request.prompt().get(), open, wantedWeights, nowNanos)
        : byLoad(open, nowNanos);
  }

  /**
   * Tells whether a server owes an answer for too long or fails too often.
   *
   * @param server the server
   * @param nowNanos current time
   * @return whether other servers go first
   */
  public boolean avoid(Backend server, long nowNanos) {
    return silent(server, nowNanos) || server.failureRate(nowNanos) > settings.failureRate();
  }

  /**
   * Tells whether a server owes answers and has sent nothing to this instance for too long.
   *
   * @param server the server
   * @param nowNanos current time
   * @return whether it is silent
   */
  public boolean silent(Backend server, long nowNanos) {
    return server.silentNanos(nowNanos) > settings.silenceNanos();
  }

  private Selection lastResort(List<Backend> avoided, long nowNanos) {
    return avoided.stream()
        .min(
            Comparator.comparingLong((Backend server) -> server.silentNanos(nowNanos))
                .thenComparingDouble(server -> server.failureRate(nowNanos)))
        .<Selection>map(server -> new Selection.Chosen(server, Selection.Reason.LAST_RESORT))
        .orElseGet(Selection.AllBusy::new);
  }

  private Selection byPrompt(
      Prompt prompt, List<Backend> open, OptionalLong wantedWeights, long nowNanos) {
    List<Backend> candidates = preferNewWeights(prompt.model(), open, wantedWeights, nowNanos);
    double total = 0;
    for (Backend server : candidates) {
      total += server.load(nowNanos);
    }
    double bound =
        Math.max(settings.spillFloor(), settings.spillFactor() * total / candidates.size() + 1);
    long subject = prompt.subject();
    Backend first = null;
    Backend best = null;
    Backend idlest = null;
    for (Backend server : candidates) {
      if (first == null || ranksBefore(server, first, subject)) {
        first = server;
      }
      if (server.load(nowNanos) <= bound
          && (best == null || ranksBefore(server, best, subject))) {
        best = server;
      }
      if (idlest == null || server.load(nowNanos) < idlest.load(nowNanos)) {
        idlest = server;
      }
    }
    if (best == first) {
      return new Selection.Chosen(first, Selection.Reason.HOME);
    }
    return new Selection.Chosen(best != null ? best : idlest, Selection.Reason.SPILL);
  }

  private List<Backend> preferNewWeights(
      String model, List<Backend> open, OptionalLong wantedWeights, long nowNanos) {
    if (wantedWeights.isEmpty()) {
      return open;
    }
    List<Backend> renewed = new ArrayList<>();
    for (Backend server : open) {
      boolean current =
          server.weights(model).orElse(wantedWeights.getAsLong()) >= wantedWeights.getAsLong();
      if (current && server.load(nowNanos) < settings.newWeightsShare() * slots(server)) {
        renewed.add(server);
      }
    }
    return renewed.isEmpty() ? open : renewed;
  }

  private Selection byLoad(List<Backend> open, long nowNanos) {
    Backend best = null;
    double bestCost = Double.MAX_VALUE;
    for (Backend server : open) {
      double cost = plainCost(server, nowNanos);
      if (cost < bestCost) {
        best = server;
        bestCost = cost;
      }
    }
    return new Selection.Chosen(best, Selection.Reason.LEAST_LOADED);
  }

  /** Share of the slots in use; a server elsewhere counts as one that is full. */
  private double plainCost(Backend server, long nowNanos) {
    double used = (server.load(nowNanos) + 1) / slots(server);
    return server.entry().dataCentre().equals(settings.dataCentre()) ? used : used + 1;
  }

  private static boolean full(Backend server, long nowNanos) {
    return server.load(nowNanos) >= FULL_FACTOR * slots(server);
  }

  private static int slots(Backend server) {
    return server.slots() > 0 ? server.slots() : ASSUMED_SLOTS;
  }

  private static boolean ranksBefore(Backend server, Backend other, long subject) {
    return Long.compareUnsigned(
            RendezvousHash.mix(subject ^ server.seed()), RendezvousHash.mix(subject ^ other.seed()))
        > 0;
  }

  private static List<Backend> without(List<Backend> servers, Set<String> tried) {
    if (tried.isEmpty()) {
      return servers;
    }
    return servers.stream().filter(server -> !tried.contains(server.entry().id())).toList();
  }
}
