package org.pollenrock.settings;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.InstanceId;

/**
 * Settings of one router process, apart from the shared tree.
 *
 * @param instance its name
 * @param dataCentre its data centre
 * @param listen where it listens
 * @param seeds peer addresses of routers to ask at the start
 * @param log the log
 * @param list the instance list
 * @param kvStore the KV cache store, when there is one
 * @param tls certificates; empty for no TLS
 * @param memory bounds on memory
 * @param limits bounds on requests
 * @param stop how it stops
 * @param randomSeed seed of all random choices; empty for one drawn at the start
 */
public record ProcessSettings(
    InstanceId instance,
    DataCentreId dataCentre,
    ListenSettings listen,
    List<HostPort> seeds,
    LogSettings log,
    ListSettings list,
    Optional<KvStoreSettings> kvStore,
    Optional<TlsSettings> tls,
    MemorySettings memory,
    LimitSettings limits,
    StopSettings stop,
    OptionalLong randomSeed) {
  /** Checks that all parts are present. */
  public ProcessSettings {
    Objects.requireNonNull(instance, "instance");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(listen, "listen");
    seeds = List.copyOf(seeds);
    Objects.requireNonNull(log, "log");
    Objects.requireNonNull(list, "list");
    Objects.requireNonNull(kvStore, "kvStore");
    Objects.requireNonNull(tls, "tls");
    Objects.requireNonNull(memory, "memory");
    Objects.requireNonNull(limits, "limits");
    Objects.requireNonNull(stop, "stop");
    Objects.requireNonNull(randomSeed, "randomSeed");
  }
}
