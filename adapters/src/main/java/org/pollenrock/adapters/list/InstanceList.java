package org.pollenrock.adapters.list;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;

/**
 * The instance list at one version.
 *
 * @param version grows with every change
 * @param instances live and leaving instances
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record InstanceList(
    @JsonProperty("version") long version, @JsonProperty("instances") List<Entry> instances) {
  /** Replaces an absent list by an empty one. */
  public InstanceList {
    instances = instances == null ? List.of() : List.copyOf(instances);
  }

  /**
   * One instance.
   *
   * @param id name
   * @param kind {@code model-server}, {@code plain-server} or {@code router}
   * @param service service of a plain server, otherwise any text
   * @param address host and port
   * @param dataCentre data centre
   * @param state {@code live} or {@code leaving}
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record Entry(
      @JsonProperty("id") String id,
      @JsonProperty("kind") String kind,
      @JsonProperty("service") String service,
      @JsonProperty("address") String address,
      @JsonProperty("data_centre") String dataCentre,
      @JsonProperty("state") String state) {}
}
