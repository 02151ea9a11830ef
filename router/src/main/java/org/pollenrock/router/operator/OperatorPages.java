package org.pollenrock.router.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.pollenrock.core.placement.Candidate;
import org.pollenrock.core.placement.CostTerms;
import org.pollenrock.router.decision.DecisionState;
import org.pollenrock.router.decision.Decisions;
import org.pollenrock.router.decision.Explanation;
import org.pollenrock.router.decision.StateSummary;

/** Pages of the operator listener. */
public final class OperatorPages {
  private static final int OK = 200;
  private static final int MALFORMED = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final int MAX_EXPLANATIONS = 32;
  private static final double NANOS_PER_MILLI = 1e6;

  private final ObjectMapper mapper = new ObjectMapper();
  private final PrometheusTextFormatWriter metricsWriter =
      PrometheusTextFormatWriter.builder().build();
  private final Supplier<RouterView> view;
  private final Decisions decisions;
  private final RouterMetrics metrics;

  /**
   * Creates the pages.
   *
   * @param view the router itself
   * @param decisions its decision state
   * @param metrics its metrics
   */
  public OperatorPages(Supplier<RouterView> view, Decisions decisions, RouterMetrics metrics) {
    this.view = view;
    this.decisions = decisions;
    this.metrics = metrics;
  }

  /** Answers a GET request, on any thread. */
  void page(String uri, Consumer<OperatorPage> reply) {
    QueryStringDecoder target = new QueryStringDecoder(uri);
    try {
      switch (target.path()) {
        case "/livez" -> reply.accept(OperatorPage.text(OK, "ok\n"));
        case "/readyz" -> reply.accept(readiness());
        case "/metrics" -> reply.accept(metricsPage());
        case "/state" -> ask(DecisionState::summary, this::state, reply);
        case "/explain" -> explain(target, reply);
        default -> reply.accept(OperatorPage.text(NOT_FOUND, "no such page\n"));
      }
    } catch (IllegalArgumentException e) {
      reply.accept(OperatorPage.text(MALFORMED, "the target is malformed\n"));
    }
  }

  private OperatorPage readiness() {
    List<String> reasons = view.get().notReady();
    return reasons.isEmpty()
        ? OperatorPage.text(OK, "ready\n")
        : OperatorPage.text(UNAVAILABLE, String.join("\n", reasons) + "\n");
  }

  private OperatorPage metricsPage() {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try {
      metricsWriter.write(text, metrics.registry().scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return new OperatorPage(OK, PrometheusTextFormatWriter.CONTENT_TYPE, text.toByteArray());
  }

  private <T> void ask(
      Function<DecisionState, T> query,
      Function<T, OperatorPage> page,
      Consumer<OperatorPage> reply) {
    if (!decisions.query(query, result -> reply.accept(page.apply(result)))) {
      reply.accept(OperatorPage.text(UNAVAILABLE, "too many questions wait\n"));
    }
  }

  private void explain(QueryStringDecoder target, Consumer<OperatorPage> reply) {
    Optional<String> wanted =
        target.parameters().getOrDefault("request", List.of()).stream().findFirst();
    ask(
        DecisionState::explanations,
        all ->
            explanations(
                all.stream()
                    .filter(one -> wanted.isEmpty() || wanted.get().equals(one.requestId()))
                    .limit(MAX_EXPLANATIONS)
                    .toList()),
        reply);
  }

  private OperatorPage state(StateSummary summary) {
    RouterView router = view.get();
    ObjectNode root = mapper.createObjectNode();
    root.put("instance", router.instance());
    root.put("data_centre", router.dataCentre());
    root.put("incarnation", router.incarnation());
    root.put("revision", router.revision().orElse(null));
    root.put("ready", router.notReady().isEmpty());
    root.put("routers", summary.routers());
    root.put("waiting", summary.waiting());
    root.put("running", summary.running());
    root.put("placed", summary.placed());
    root.put("cache_entries", summary.cacheEntries());
    root.put("ejected", summary.ejected());
    ArrayNode servers = root.putArray("servers");
    summary.servers().forEach(server -> addServer(servers.addObject(), server));
    return json(root);
  }

  private static void addServer(ObjectNode node, StateSummary.Server server) {
    node.put("id", server.id());
    node.put("role", server.role());
    node.put("data_centre", server.dataCentre());
    node.put("incarnation", server.incarnation());
    ArrayNode models = node.putArray("models");
    server.models().forEach(models::add);
    node.put("queue_tokens", Math.round(server.queueTokens()));
    node.put("in_flight", server.inFlight());
    node.put("accepting", server.accepting());
    node.put("suspect", server.suspect());
  }

  private OperatorPage explanations(List<Explanation> found) {
    ObjectNode root = mapper.createObjectNode();
    ArrayNode list = root.putArray("placements");
    for (Explanation one : found) {
      ObjectNode node = list.addObject();
      node.put("request", one.requestId());
      node.put("server", one.server().value());
      node.put("prompt_tokens", one.promptTokens());
      node.put("expected_cached_tokens", one.expectedCachedTokens());
      ArrayNode candidates = node.putArray("candidates");
      one.candidates().forEach(candidate -> addCandidate(candidates.addObject(), candidate));
    }
    return json(root);
  }

  private static void addCandidate(ObjectNode node, Candidate candidate) {
    CostTerms cost = candidate.cost();
    node.put("server", candidate.server().value());
    node.put("data_centre", candidate.dataCentre().value());
    node.put("origin", candidate.origin().name());
    node.put("expected_cached_tokens", Math.round(candidate.expectedCachedTokens()));
    node.put("missing_tokens", Math.round(cost.missingTokens()));
    node.put("prefill_ms", millis(cost.prefillNanos()));
    node.put("queue_ms", millis(cost.queueNanos()));
    node.put("slot_ms", millis(cost.slotNanos()));
    node.put("network_ms", millis(cost.networkNanos()));
    node.put("urgent_ms", millis(cost.urgentNanos()));
    node.put("eviction_ms", millis(cost.evictionNanos()));
    node.put("delay_ms", millis(cost.delayNanos()));
    node.put("total_ms", millis(cost.totalNanos()));
  }

  private static double millis(double nanos) {
    return Math.round(nanos / NANOS_PER_MILLI * 1_000) / 1_000.0;
  }

  private OperatorPage json(ObjectNode root) {
    try {
      return OperatorPage.json(OK, mapper.writeValueAsBytes(root));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree is always writable", e);
    }
  }
}
