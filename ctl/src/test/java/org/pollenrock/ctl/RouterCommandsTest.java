package org.pollenrock.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.pollenrock.core.settings.ApiKeyHash;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.ctl.load.Deployment;
import org.pollenrock.ctl.load.LoadRequest;
import org.pollenrock.ctl.load.RequestSource;
import org.pollenrock.settings.SettingsReader;

class RouterCommandsTest {
  private static final String DONE = "data: [DONE]\n\n";

  private static Invocation load(TestRouter router) {
    return Invocation.run(
        "load",
        "--router",
        router.address(),
        "--deployment",
        "chama",
        "--rate",
        "200",
        "--duration",
        "500ms",
        "--seed",
        "7",
        "--output",
        "json");
  }

  @Test
  void stateAndExplanationAreShown() {
    try (TestRouter router = new TestRouter(DONE)) {
      Invocation state = Invocation.run("state", "--router", router.address());
      assertThat(state.out())
          .isEqualToNormalizingNewlines("revision: 7\nservers:\n  -\n    id: e1\n");
      Invocation explained =
          Invocation.run("explain", "r-1", "--output", "json", "--router", router.address());
      assertThat(explained.json().path("request").asText()).isEqualTo("r-1");
    }
    assertThat(Invocation.run("state", "--router", "127.0.0.1:1").code()).isEqualTo(3);
  }

  /** Guards against a run that counts refusals that were not run as failures, or loses requests. */
  @Test
  void loadCountsEveryRequest() {
    try (TestRouter router = new TestRouter(DONE)) {
      Invocation run = load(router);
      assertThat(run.code()).as(run.err()).isZero();
      JsonNode figures = run.json();
      int kinds = 0;
      for (JsonNode kind : figures.path("kinds")) {
        kinds += kind.path("completed").asInt() + kind.path("refused_not_run").asInt();
      }
      assertThat(kinds)
          .isEqualTo(figures.path("completed").asInt() + figures.path("refused_not_run").asInt());
      assertThat(figures.at("/kinds/posting/refused_not_run").asInt()).isPositive();
      assertThat(figures.at("/kinds/condition-check/ttft_p99_ms").asDouble()).isPositive();
      assertThat(router.everyPostingHasItsOwnKey()).isTrue();
    }
  }

  /** Guards against a truncated, repeated or broken stream that counts as complete. */
  @ParameterizedTest
  @CsvSource({
    "''",
    "'data: {}\n\n'",
    "'id: 4\ndata: {}\n\ndata: [DONE]\n\n'",
    "'event: error\ndata: {}\n\ndata: [DONE]\n\n'",
    "'data: [DONE]\n\ndata: {}\n\n'"
  })
  void brokenStreamsAreIncomplete(String end) {
    try (TestRouter router = new TestRouter(end)) {
      Invocation run = load(router);
      assertThat(run.code()).isEqualTo(1);
      assertThat(run.json().path("incomplete").asInt()).isPositive();
      assertThat(run.json().at("/kinds/dispute-summary/completed").asInt()).isZero();
    }
  }

  /** Guards against runs that cannot be repeated, and prompts without shared prefixes. */
  @ParameterizedTest
  @EnumSource(Deployment.class)
  void sourceRepeatsAndSharesPrefixes(Deployment deployment) throws Exception {
    RequestSource source = new RequestSource(deployment, 2, 7);
    RequestSource same = new RequestSource(deployment, 2, 7);
    Map<String, Integer> prompts = new HashMap<>();
    for (int i = 0; i < 400; i++) {
      LoadRequest request = source.next(5);
      assertThat(request).isEqualTo(same.next(5));
      if (request.streamed()) {
        String prompt =
            new ObjectMapper().readTree(request.body()).at("/messages/0/content").asText();
        assertThat(prompt).hasSize(4 * 4096);
        prompts.merge(prompt, 1, Integer::sum);
      }
    }
    assertThat(prompts.keySet().stream().map(text -> text.substring(0, 4096)).distinct())
        .hasSize(1);
    assertThat(prompts.keySet().stream().map(text -> text.substring(0, 8192)).distinct())
        .hasSize(deployment.customers().size());
    assertThat(prompts.values()).anyMatch(count -> count > 10);
  }

  /** Guards against API keys of the load run that the example settings do not know. */
  @ParameterizedTest
  @EnumSource(Deployment.class)
  void loadUsesTheKeysOfTheExamples(Deployment deployment) throws Exception {
    String name = deployment.name().toLowerCase(java.util.Locale.ROOT);
    java.nio.file.Path file = java.nio.file.Path.of("../examples", name, "settings.yaml");
    SettingsTree tree =
        SettingsReader.readTree(name, java.nio.file.Files.readString(file)).orElseThrow();
    for (Deployment.Customer customer : deployment.customers()) {
      assertThat(tree.ownerOf(ApiKeyHash.ofKey(customer.apiKey())).orElseThrow().customer().value())
          .isEqualTo(customer.name());
    }
    assertThat(tree.models().contains(deployment.model())).isTrue();
    assertThat(tree.kinds().names()).contains(deployment.longKind(), deployment.shortKind());
    assertThat(tree.serviceOf(deployment.postingPath())).isPresent();
  }
}
