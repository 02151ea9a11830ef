package org.pollenrock.settings;

import java.util.Optional;
import org.pollenrock.core.settings.ProblemList;
import org.pollenrock.core.settings.SettingsPath;
import org.pollenrock.core.settings.ValueRange;
import org.pollenrock.core.settings.ValueType;

/** Keys of the process settings, with place, range and default. */
public enum ProcessKey {
  /** Name of the router instance. */
  INSTANCE("instance"),
  /** Name of its data centre. */
  DATA_CENTRE("data-centre"),
  /** Address for callers. */
  LISTEN_CALLERS("listen/callers"),
  /** Address for operators. */
  LISTEN_OPERATORS("listen/operators"),
  /** Address for other routers. */
  LISTEN_PEERS("listen/peers"),
  /** Peer addresses of routers to ask at the start. */
  SEEDS("seeds"),
  /** Address of the log service. */
  LOG_ADDRESS("log/address"),
  /** Time for which the log keeps records, in nanoseconds. */
  LOG_RETENTION("log/retention", ValueType.DURATION, "1m", "365d", "1d"),
  /** Longest time that a read waits for new records, in nanoseconds. */
  LOG_POLL_WAIT("log/poll-wait", ValueType.DURATION, "10ms", "1m", "5s"),
  /** Time after which a log call has failed, beyond the waiting it asked for, in nanoseconds. */
  LOG_TIMEOUT("log/timeout", ValueType.DURATION, "10ms", "1m", "2s"),
  /** Greatest number of records in one read. */
  LOG_READ_RECORDS("log/read-records", ValueType.COUNT, "1", "10000", "512"),
  /** Address of the instance list. */
  LIST_ADDRESS("list/address"),
  /** Time between two reads of the instance list, in nanoseconds. */
  LIST_POLL_INTERVAL("list/poll-interval", ValueType.DURATION, "10ms", "1m", "500ms"),
  /** Time after which a read of the list has failed, in nanoseconds. */
  LIST_TIMEOUT("list/timeout", ValueType.DURATION, "10ms", "1m", "2s"),
  /** Address of the KV cache store. */
  KV_STORE_ADDRESS("kv-store/address"),
  /** Time after which a KV store call has failed, in nanoseconds. */
  KV_STORE_TIMEOUT("kv-store/timeout", ValueType.DURATION, "10ms", "1m", "500ms"),
  /** PEM file with the certificate chain. */
  TLS_CERTIFICATE("tls/certificate"),
  /** PEM file with the private key. */
  TLS_KEY("tls/key"),
  /** PEM file with the authorities that sign the certificates of peers. */
  TLS_PEER_AUTHORITIES("tls/peer-authorities"),
  /** Time between two checks of the files for changes, in nanoseconds. */
  TLS_RELOAD_INTERVAL("tls/reload-interval", ValueType.DURATION, "100ms", "1d", "10s"),
  /** Whether callers connect over TLS. */
  TLS_CALLERS("tls/callers", ValueType.FLAG, "false", "true", "true"),
  /** Whether operators connect over TLS. */
  TLS_OPERATORS("tls/operators", ValueType.FLAG, "false", "true", "true"),
  /** Whether routers connect to each other over TLS. */
  TLS_PEERS("tls/peers", ValueType.FLAG, "false", "true", "true"),
  /** Greatest number of cached blocks that the router remembers. */
  MEMORY_CACHE_ENTRIES("memory/cache-entries", ValueType.COUNT, "1000", "100000000", "500000"),
  /** Greatest number of prefixes whose rate is tracked. */
  MEMORY_HOT_PREFIXES("memory/hot-prefixes", ValueType.COUNT, "16", "1000000", "4096"),
  /** Bytes for outcomes of claims. */
  MEMORY_CLAIM_BYTES("memory/claim-bytes", ValueType.SIZE, "64KiB", "16GiB", "32MiB"),
  /** Bytes buffered for one connection. */
  MEMORY_CONNECTION_BYTES("memory/connection-bytes", ValueType.SIZE, "16KiB", "64MiB", "256KiB"),
  /** Bytes of request bodies and buffered answers together. */
  MEMORY_REQUEST_BYTES("memory/request-bytes", ValueType.SIZE, "1MiB", "64GiB", "512MiB"),
  /** Greatest number of caller connections. */
  LIMITS_CONNECTIONS("limits/connections", ValueType.COUNT, "1", "1000000", "10000"),
  /** Greatest size of the first line and of one header line. */
  LIMITS_LINE_BYTES("limits/line-bytes", ValueType.SIZE, "256B", "64KiB", "8KiB"),
  /** Greatest size of all headers. */
  LIMITS_HEADER_BYTES("limits/header-bytes", ValueType.SIZE, "1KiB", "1MiB", "32KiB"),
  /** Greatest size of a request body. */
  LIMITS_BODY_BYTES("limits/body-bytes", ValueType.SIZE, "1KiB", "256MiB", "8MiB"),
  /** Greatest size of one event of a stream. */
  LIMITS_EVENT_BYTES("limits/event-bytes", ValueType.SIZE, "1KiB", "16MiB", "256KiB"),
  /** Greatest number of requests that wait for admission. */
  LIMITS_QUEUED_REQUESTS("limits/queued-requests", ValueType.COUNT, "1", "1000000", "10000"),
  /** Greatest number of requests of one customer that wait for admission. */
  LIMITS_QUEUED_PER_CUSTOMER("limits/queued-per-customer", ValueType.COUNT, "1", "1000000", "2000"),
  /** Longest time in which a caller sends a request completely, in nanoseconds. */
  LIMITS_READ_TIMEOUT("limits/read-timeout", ValueType.DURATION, "10ms", "10m", "10s"),
  /** Longest time without progress when a caller reads slowly, in nanoseconds. */
  LIMITS_WRITE_TIMEOUT("limits/write-timeout", ValueType.DURATION, "10ms", "10m", "10s"),
  /** Time after which an idle caller connection is closed, in nanoseconds. */
  LIMITS_IDLE_TIMEOUT("limits/idle-timeout", ValueType.DURATION, "100ms", "1h", "1m"),
  /** Longest time to connect to a backend server, in nanoseconds. */
  LIMITS_CONNECT_TIMEOUT("limits/connect-timeout", ValueType.DURATION, "1ms", "1m", "500ms"),
  /** Time for which the router serves after it reports that it is not ready, in nanoseconds. */
  STOP_DRAIN_DELAY("stop/drain-delay", ValueType.DURATION, "0s", "10m", "5s"),
  /** Time after which a stop interrupts the remaining streams, in nanoseconds. */
  STOP_HARD_STOP_AFTER("stop/hard-stop-after", ValueType.DURATION, "0s", "1d", "10m"),
  /** Seed of all random choices; absent means one drawn at the start and logged. */
  RANDOM_SEED("random-seed");

  private final SettingsPath path;
  private final Optional<ValueRange> range;
  private final long defaultValue;

  ProcessKey(String path) {
    this.path = SettingsPath.parse(path);
    this.range = Optional.empty();
    this.defaultValue = 0;
  }

  ProcessKey(String path, ValueType type, String min, String max, String defaultText) {
    this.path = SettingsPath.parse(path);
    ValueRange bounds = ValueRange.of(type, min, max);
    this.range = Optional.of(bounds);
    this.defaultValue = bounds.parse(this.path, defaultText, new ProblemList()).orElseThrow();
  }

  /**
   * Place in the file.
   *
   * @return one or two segments
   */
  public SettingsPath path() {
    return path;
  }

  /**
   * Type and range.
   *
   * @return the range, or empty for a text
   */
  public Optional<ValueRange> range() {
    return range;
  }

  /**
   * Number that applies when the file does not set the key.
   *
   * @return in the unit of the type, 0 for a text
   */
  public long defaultValue() {
    return defaultValue;
  }
}
