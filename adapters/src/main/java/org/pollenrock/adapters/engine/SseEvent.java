package org.pollenrock.adapters.engine;

import java.util.Objects;
import java.util.Optional;

/**
 * One server-sent event.
 *
 * @param id the id field of this event, when it has one
 * @param type the event field, {@code message} when absent
 * @param data the data lines, joined by line feeds
 */
public record SseEvent(Optional<String> id, String type, String data) {
  /** Data of the event that ends a complete answer. */
  public static final String DONE = "[DONE]";

  /** Checks that all parts are present. */
  public SseEvent {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(type, "type");
    Objects.requireNonNull(data, "data");
  }

  /**
   * Whether this event ends a complete answer.
   *
   * @return true for the end marker
   */
  public boolean isDone() {
    return data.equals(DONE);
  }
}
