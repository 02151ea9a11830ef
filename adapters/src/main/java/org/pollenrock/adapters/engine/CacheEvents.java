package org.pollenrock.adapters.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * A page of an engine's cache events.
 *
 * @param incarnation the engine's incarnation
 * @param first lowest sequence number that the engine still keeps
 * @param last highest sequence number
 * @param events events in ascending order
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record CacheEvents(
    @JsonProperty("incarnation") long incarnation,
    @JsonProperty("first") long first,
    @JsonProperty("last") long last,
    @JsonProperty("events") List<Entry> events) {
  /** Replaces an absent list by an empty one. */
  public CacheEvents {
    events = events == null ? List.of() : List.copyOf(events);
  }

  /**
   * One event.
   *
   * @param sequence sequence number within the incarnation
   * @param kind {@code stored} or {@code evicted}
   * @param key key of the block, 32 hexadecimal digits
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record Entry(
      @JsonProperty("seq") long sequence,
      @JsonProperty("kind") String kind,
      @JsonProperty("key") String key) {}
}
