package org.pollenrock.router.filter;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.adapters.engine.SseEvent;
import org.pollenrock.core.stream.AttemptId;
import org.pollenrock.core.stream.StreamAction;
import org.pollenrock.core.stream.StreamAssembler;

/** The streamed response of one request over all of its attempts. */
final class StreamRelay {
  /** Text kept for a continuation; a longer answer can only be resumed on its own server. */
  private static final int MAX_KEPT_CHARS = 4 * 1024 * 1024;

  private final StreamAssembler<SseEvent> assembler = new StreamAssembler<>();
  private final List<String> relayed = new ArrayList<>();
  private String last = "";
  private long keptChars;
  private boolean started;
  private int breaks;

  void startAttempt(AttemptId attempt, long indexOffset) {
    assembler.startAttempt(attempt, indexOffset);
  }

  /** Decides what an event of an attempt means; an event without an index is not decided here. */
  StreamAction<SseEvent> event(AttemptId attempt, SseEvent event, long index) {
    StreamAction<SseEvent> action = assembler.handleToken(attempt, index, event);
    if (action instanceof StreamAction.Relay<SseEvent>) {
      keep(event.data());
    }
    return action;
  }

  StreamAction<SseEvent> endMarker(AttemptId attempt) {
    return assembler.handleEndMarker(attempt, OptionalLong.empty());
  }

  /** Records that the attempt broke, whatever broke it. */
  void broken(AttemptId attempt) {
    assembler.handleConnectionEnd(attempt);
    breaks++;
  }

  private void keep(String data) {
    last = data;
    keptChars += data.length();
    if (keptChars <= MAX_KEPT_CHARS) {
      relayed.add(data);
    } else {
      relayed.clear();
    }
  }

  /** The text relayed so far, empty when another run cannot continue from text. */
  Optional<String> text() {
    return keptChars > MAX_KEPT_CHARS ? Optional.empty() : text(relayed.size());
  }

  /** The text of the first tokens, empty when it is not kept. */
  Optional<String> text(long tokens) {
    if (tokens > relayed.size()) {
      return Optional.empty();
    }
    StringBuilder text = new StringBuilder();
    for (String data : relayed.subList(0, (int) tokens)) {
      Optional<String> part = CompletionBody.textOf(data);
      if (part.isEmpty()) {
        return Optional.empty();
      }
      text.append(part.get());
    }
    return Optional.of(text.toString());
  }

  /** Whether the last token was relayed, so that only the end marker is missing. */
  boolean hasLastToken() {
    return CompletionBody.endsGeneration(last);
  }

  /** Whether a part of the response was sent, so that its status cannot change. */
  boolean started() {
    return started;
  }

  void markStarted() {
    started = true;
  }

  long nextIndex() {
    return assembler.nextTokenIndex();
  }

  long indexOffset() {
    return assembler.indexOffset();
  }

  int breaks() {
    return breaks;
  }
}
