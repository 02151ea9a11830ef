package org.pollenrock.gateway;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.pollenrock.core.dispatch.DispatchRequest;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.origin.SoftwareHistory;
import org.pollenrock.core.origin.StreamOrigin;
import org.pollenrock.core.origin.StreamOrigins;
import org.pollenrock.core.route.Route;

/**
 * Records which software version begins each stream that may go on elsewhere, and finds it for
 * callers that take a stream up.
 *
 * <p>While a service has had one version alone for long, streams are recorded in memory only.
 * Otherwise they are stored, so that every instance finds them. A stream whose origin is not found,
 * and can't be told from the versions that serve, must not go on. All methods must be called on the
 * event loop.
 */
public final class StreamOriginTask {
  /** Time after which the store is read again for a stream that it did not have. */
  private static final long READ_AGAIN_MILLIS = 150;

  /** Time after which a stream counts as unknown if the store does not answer. */
  private static final long FIND_TIMEOUT_MILLIS = 600;

  /** Longest id of an attempt that is recorded, in characters; ids are much shorter in general. */
  private static final int MAX_ID_LENGTH = 120;

  /** Time for which own streams are stored when a service ceases to be settled. */
  private static final long RECENT_NANOS = 30_000_000_000L;

  private final EventLoop loop;
  private final Fleet fleet;
  private final LongSupplier clock;
  private final EventLog log;
  private final StreamOrigins origins = new StreamOrigins();
  private final SoftwareHistory history = new SoftwareHistory();
  private Optional<StreamOriginStore> store = Optional.empty();
  private long appliedMembership = -1;

  /**
   * Stream that a caller takes up.
   *
   * @param id id of the attempt that began it; empty if the caller does not tell
   * @param service service that the caller's request is for
   * @param streamNanos longest time that a stream of the route lasts
   */
  private record TakenUp(Optional<String> id, String service, long streamNanos) {}

  /** One search, whose result is passed on once. */
  private final class Search {
    private final TakenUp stream;
    private final Consumer<Optional<StreamOrigin>> result;
    private boolean done;

    private Search(TakenUp stream, Consumer<Optional<StreamOrigin>> result) {
      this.stream = stream;
      this.result = result;
    }

    private void finish(Optional<StreamOrigin> origin) {
      if (!done) {
        done = true;
        result.accept(origin);
      }
    }

    private void readStore(boolean again) {
      store.ifPresentOrElse(
          each -> each.readNew(complete -> handleRead(complete, again)),
          () -> finish(settledOrigin()));
    }

    private void handleRead(boolean complete, boolean again) {
      Optional<StreamOrigin> found = stream.id().flatMap(origins::find);
      if (found.isPresent() || !complete) {
        finish(found);
        return;
      }
      if (settledOrigin().isPresent()) {
        // The own list of servers may be old, and the origin stored late or never.
        store.orElseThrow().readVersions(current -> handleVersions(current, again));
      } else {
        readAgainOrRefuse(again);
      }
    }

    private void handleVersions(boolean current, boolean again) {
      Optional<StreamOrigin> settled = current ? settledOrigin() : Optional.empty();
      if (settled.isPresent() || !current) {
        finish(settled);
      } else {
        readAgainOrRefuse(again);
      }
    }

    /**
     * Reads the store once more, since the instance that began the stream may be about to write.
     */
    private void readAgainOrRefuse(boolean again) {
      if (again) {
        finish(Optional.empty());
      } else {
        loop.schedule(() -> readStore(true), READ_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
      }
    }

    private Optional<StreamOrigin> settledOrigin() {
      applyServers();
      return history
          .settledVersion(stream.service(), stream.streamNanos(), clock.getAsLong())
          .map(version -> new StreamOrigin(stream.service(), version));
    }
  }

  StreamOriginTask(EventLoop loop, Fleet fleet, LongSupplier clock, EventLog log) {
    this.loop = loop;
    this.fleet = fleet;
    this.clock = clock;
    this.log = log;
  }

  /**
   * Sets the store of the origins, without which each instance knows its own streams only.
   *
   * @param newStore the store
   */
  public void useStore(StreamOriginStore newStore) {
    store = Optional.of(newStore);
    history.listings().keySet().forEach(newStore::storeListing);
  }

  /**
   * Returns the origins of the known streams.
   *
   * @return the origins
   */
  public StreamOrigins origins() {
    return origins;
  }

  /**
   * Returns the software versions of the services.
   *
   * @return the versions
   */
  public SoftwareHistory history() {
    return history;
  }

  /**
   * Binds a request to the software version of a server that has begun to respond to it with a
   * stream, if the stream may go on elsewhere.
   *
   * @param route route of the request
   * @param request the request
   * @param server the server
   * @return the request, for servers of that version if the route can resume streams
   */
  DispatchRequest bind(Route route, DispatchRequest request, ListedBackend server) {
    if (!route.resumable() || request.softwareVersion().isPresent()) {
      return request;
    }
    StreamOrigin origin = new StreamOrigin(server.service(), server.softwareVersion());
    recordStart(request.id(), origin, route.timeoutNanos());
    return request.continuing(origin);
  }

  private void recordStart(String id, StreamOrigin origin, long streamNanos) {
    if (id.isEmpty() || id.length() > MAX_ID_LENGTH) {
      return;
    }
    applyServers();
    long now = clock.getAsLong();
    origins.recordStart(id, origin, now);
    if (history.needsOrigins(origin.service(), streamNanos, now)) {
      store.ifPresent(each -> each.append(Map.of(id, origin)));
    }
  }

  /**
   * Binds a request that takes up a stream to the service and software version that began it.
   *
   * @param route route of the request
   * @param metadata metadata of the request
   * @param request the request
   * @param result receives the request, as it is if it begins a stream; empty if the stream must
   *     not go on, since nothing tells where it began or the route has left that service
   */
  void resolve(
      Route route,
      CallerRequestMetadata metadata,
      DispatchRequest request,
      Consumer<Optional<DispatchRequest>> result) {
    if (!route.resumable() || !metadata.continuesStream()) {
      result.accept(Optional.of(request));
      return;
    }
    find(
        new TakenUp(metadata.resumedId(), request.service(), route.timeoutNanos()),
        origin ->
            result.accept(
                origin.filter(known -> route.sendsTo(known.service())).map(request::continuing)));
  }

  private void find(TakenUp stream, Consumer<Optional<StreamOrigin>> result) {
    Optional<StreamOrigin> known = stream.id().flatMap(origins::find);
    if (known.isPresent()) {
      result.accept(known);
      return;
    }
    Search search = new Search(stream, result);
    loop.schedule(
        () -> search.finish(Optional.empty()), FIND_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    search.readStore(false);
  }

  /** Applies changes of the list of servers. */
  void applyServers() {
    if (fleet.membershipVersion() == appliedMembership) {
      return;
    }
    appliedMembership = fleet.membershipVersion();
    long now = clock.getAsLong();
    fleet
        .softwareVersions()
        .forEach(
            (service, versions) -> {
              if (history.applyListed(service, versions, now)) {
                handleOtherVersions(service, now);
              }
            });
  }

  /**
   * Applies the software version of a server that is listed, or was until another entry followed.
   *
   * @param service service of the server
   * @param version version of its software
   */
  public void applyVersion(String service, String version) {
    applyServers();
    long now = clock.getAsLong();
    if (history.applyVersion(service, version, now)) {
      handleOtherVersions(service, now);
    }
  }

  /** Records that the list of servers was replaced, so that servers may have come and gone. */
  public void recordListGap() {
    applyServers();
    history.recordGap(clock.getAsLong());
    store.ifPresent(StreamOriginStore::readListings);
  }

  private void handleOtherVersions(String service, long now) {
    Set<String> versions = history.listing(service).orElseThrow().versions();
    log.line("software_versions")
        .with("service", service)
        .with("versions", String.join(",", versions))
        .write();
    store.ifPresent(each -> storeUnsettled(each, service, now));
  }

  /** Stores what is needed once a service has other versions than before. */
  private void storeUnsettled(StreamOriginStore target, String service, long now) {
    target.storeListing(service);
    Map<String, StreamOrigin> begun = origins.begunSince(service, now - RECENT_NANOS);
    if (!begun.isEmpty()) {
      target.append(begun);
    }
  }
}
