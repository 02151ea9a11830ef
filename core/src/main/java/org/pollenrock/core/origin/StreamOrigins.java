package org.pollenrock.core.origin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.collection.BoundedMap;

/**
 * Origins of streams, by the ids of the attempts of callers that began them. Memory is bounded: the
 * oldest entries leave first.
 */
public final class StreamOrigins {
  /** Maximum number of own streams, and of those of other instances. */
  static final int MAX_STREAMS = 16_384;

  /**
   * Stream that this instance has begun.
   *
   * @param origin its origin
   * @param nanos time at which it began
   */
  private record OwnStream(StreamOrigin origin, long nanos) {}

  private final BoundedMap<String, OwnStream> ownStreams = new BoundedMap<>(MAX_STREAMS);
  private final BoundedMap<String, StreamOrigin> otherStreams = new BoundedMap<>(MAX_STREAMS);

  /** Creates an empty table. */
  public StreamOrigins() {}

  /**
   * Records that a server has begun a stream for this instance.
   *
   * @param id id of the attempt of the caller
   * @param origin the origin
   * @param nowNanos current time
   */
  public void recordStart(String id, StreamOrigin origin, long nowNanos) {
    ownStreams.putLast(id, new OwnStream(origin, nowNanos));
  }

  /**
   * Applies the origin of a stream that another instance has stored.
   *
   * @param id id of the attempt of the caller
   * @param origin the origin
   */
  public void applyStored(String id, StreamOrigin origin) {
    otherStreams.putLast(id, origin);
  }

  /**
   * Finds the origin of a stream.
   *
   * @param id id of the attempt of the caller
   * @return the origin; empty if it is not known
   */
  public Optional<StreamOrigin> find(String id) {
    OwnStream own = ownStreams.get(id);
    return own == null ? Optional.ofNullable(otherStreams.get(id)) : Optional.of(own.origin());
  }

  /**
   * Returns the streams of a service that this instance has begun since a time.
   *
   * @param service name of the service
   * @param nanos the time
   * @return the origins by the ids of the attempts of callers
   */
  public Map<String, StreamOrigin> begunSince(String service, long nanos) {
    Map<String, StreamOrigin> begun = new LinkedHashMap<>();
    ownStreams.forEach(
        (id, stream) -> {
          if (stream.nanos() - nanos >= 0 && stream.origin().service().equals(service)) {
            begun.put(id, stream.origin());
          }
        });
    return begun;
  }
}
