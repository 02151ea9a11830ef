package org.pollenrock.standin.engine;

import java.util.List;
import java.util.Map;
import org.pollenrock.standin.http.StandinExchange;

/** One request in the engine's queue or batch; confined to the engine's event loop. */
final class EngineSequence {
  private final EnginePrompt prompt;
  private final String attempt;
  private final int priority;
  private final long arrival;
  private final int firstToken;
  private final StandinExchange exchange;
  private final EngineAnswer answer;
  private GeneratedText text;
  private int remainingPrefill;
  private int cachedTokens;
  private List<String> missingKeys = List.of();
  private int emitted;
  private boolean scheduled;
  private boolean begun;

  EngineSequence(
      EnginePrompt prompt,
      String attempt,
      int priority,
      long arrival,
      int firstToken,
      StandinExchange exchange) {
    this.prompt = prompt;
    this.attempt = attempt;
    this.priority = priority;
    this.arrival = arrival;
    this.firstToken = firstToken;
    this.exchange = exchange;
    this.answer = new EngineAnswer(prompt, attempt, exchange);
  }

  EnginePrompt prompt() {
    return prompt;
  }

  String attempt() {
    return attempt;
  }

  int priority() {
    return priority;
  }

  long arrival() {
    return arrival;
  }

  boolean abandoned() {
    return !exchange.open();
  }

  void abort() {
    exchange.abort();
  }

  /** Fixes what has to be prefilled. */
  void schedule(int promptTokens, int cached, List<String> missing, String version) {
    scheduled = true;
    cachedTokens = cached;
    missingKeys = missing;
    remainingPrefill = Math.max(1, promptTokens - cached);
    text = new GeneratedText(prompt.text(), version);
    for (int i = 0; i < firstToken; i++) {
      text.next();
    }
    emitted = firstToken;
  }

  int cachedTokens() {
    return cachedTokens;
  }

  int remainingPrefill() {
    return remainingPrefill;
  }

  List<String> missingKeys() {
    return missingKeys;
  }

  void prefilled(int tokens) {
    remainingPrefill -= tokens;
  }

  boolean scheduled() {
    return scheduled;
  }

  boolean prefilling() {
    return !scheduled || remainingPrefill > 0;
  }

  boolean finished() {
    return emitted >= prompt.maxTokens();
  }

  int emitted() {
    return emitted;
  }

  /** Sends the next token, with the headers before the first one and the end after the last. */
  void emit(Map<String, String> headers) {
    emitToken(headers);
    if (finished()) {
      answer.end();
    }
  }

  /** Sends the next token and breaks the connection. */
  void emitAndAbort(Map<String, String> headers) {
    emitToken(headers);
    abort();
  }

  boolean beforeLast() {
    return emitted + 1 == prompt.maxTokens();
  }

  private void emitToken(Map<String, String> headers) {
    if (!begun) {
      begun = true;
      answer.begin(headers);
    }
    if (!finished()) {
      answer.token(emitted, text.next(), beforeLast());
      emitted++;
    }
  }
}
