package org.pollenrock.settings;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.settings.BranchReader;
import org.pollenrock.core.settings.ProblemList;
import org.pollenrock.core.settings.SettingsNode;
import org.pollenrock.core.settings.SettingsPath;
import org.pollenrock.core.settings.ValueRange;
import org.pollenrock.core.settings.ValueType;

/** Checks plain process settings and builds the typed ones. */
final class ProcessReader {
  private static final ValueRange SEED =
      new ValueRange(ValueType.COUNT, 0, 999_999_999_999_999_999L, false);
  private static final HostPort ABSENT = new HostPort("127.0.0.1", 0);

  private final BranchReader top;
  private final ProblemList problems;
  private final Map<String, Optional<BranchReader>> groups = new HashMap<>();

  private ProcessReader(SettingsNode node, ProblemList problems) {
    this.problems = Objects.requireNonNull(problems, "problems");
    this.top = new BranchReader(SettingsPath.ROOT, node, problems);
  }

  static ProcessSettings read(SettingsNode node, ProblemList problems) {
    return new ProcessReader(node, problems).read();
  }

  private ProcessSettings read() {
    ProcessSettings settings =
        new ProcessSettings(
            new InstanceId(top.requiredText("instance").orElse("missing")),
            new DataCentreId(top.requiredText("data-centre").orElse("missing")),
            new ListenSettings(
                address(ProcessKey.LISTEN_CALLERS),
                address(ProcessKey.LISTEN_OPERATORS),
                address(ProcessKey.LISTEN_PEERS)),
            seeds(),
            log(),
            new ListSettings(
                address(ProcessKey.LIST_ADDRESS),
                number(ProcessKey.LIST_POLL_INTERVAL),
                number(ProcessKey.LIST_TIMEOUT)),
            kvStore(),
            tls(),
            memory(),
            limits(),
            new StopSettings(
                number(ProcessKey.STOP_DRAIN_DELAY), number(ProcessKey.STOP_HARD_STOP_AFTER)),
            randomSeed());
    groups.values().forEach(group -> group.ifPresent(BranchReader::finish));
    top.finish();
    return settings;
  }

  /** Reader of the group of a key, when the file has it. */
  private Optional<BranchReader> holder(ProcessKey key) {
    if (key.path().depth() == 1) {
      return Optional.of(top);
    }
    return groups.computeIfAbsent(key.path().segment(0), top::branch);
  }

  private static String lastName(ProcessKey key) {
    return key.path().segment(key.path().depth() - 1);
  }

  private long number(ProcessKey key) {
    ValueRange range = key.range().orElseThrow();
    return holder(key)
        .map(reader -> reader.number(lastName(key), range, key.defaultValue()))
        .orElse(key.defaultValue());
  }

  private int integer(ProcessKey key) {
    return Math.toIntExact(number(key));
  }

  private Optional<String> text(ProcessKey key) {
    return holder(key).flatMap(reader -> reader.text(lastName(key)));
  }

  private String requiredText(ProcessKey key) {
    Optional<BranchReader> reader = holder(key);
    if (reader.isEmpty()) {
      problems.add(SettingsPath.ROOT, "entry '" + key.path() + "' is missing");
      return "";
    }
    return reader.get().requiredText(lastName(key)).orElse("");
  }

  private HostPort address(ProcessKey key) {
    String text = requiredText(key);
    return text.isEmpty() ? ABSENT : address(key.path(), text);
  }

  private HostPort address(SettingsPath path, String text) {
    Optional<HostPort> address = HostPort.parse(text);
    if (address.isEmpty()) {
      problems.add(path, "expected an IP address and port such as 127.0.0.1:7400");
    }
    return address.orElse(ABSENT);
  }

  private List<HostPort> seeds() {
    List<HostPort> seeds = new ArrayList<>();
    for (String text : top.texts("seeds")) {
      SettingsPath path = ProcessKey.SEEDS.path().child(Integer.toString(seeds.size()));
      seeds.add(address(path, text));
    }
    return seeds;
  }

  private LogSettings log() {
    return new LogSettings(
        address(ProcessKey.LOG_ADDRESS),
        number(ProcessKey.LOG_RETENTION),
        number(ProcessKey.LOG_POLL_WAIT),
        number(ProcessKey.LOG_TIMEOUT),
        integer(ProcessKey.LOG_READ_RECORDS));
  }

  private Optional<KvStoreSettings> kvStore() {
    if (holder(ProcessKey.KV_STORE_ADDRESS).isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new KvStoreSettings(
            address(ProcessKey.KV_STORE_ADDRESS), number(ProcessKey.KV_STORE_TIMEOUT)));
  }

  private Optional<TlsSettings> tls() {
    if (holder(ProcessKey.TLS_CERTIFICATE).isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new TlsSettings(
            requiredText(ProcessKey.TLS_CERTIFICATE),
            requiredText(ProcessKey.TLS_KEY),
            text(ProcessKey.TLS_PEER_AUTHORITIES),
            number(ProcessKey.TLS_RELOAD_INTERVAL),
            number(ProcessKey.TLS_CALLERS) != 0,
            number(ProcessKey.TLS_OPERATORS) != 0,
            number(ProcessKey.TLS_PEERS) != 0));
  }

  private MemorySettings memory() {
    return new MemorySettings(
        integer(ProcessKey.MEMORY_CACHE_ENTRIES),
        integer(ProcessKey.MEMORY_HOT_PREFIXES),
        number(ProcessKey.MEMORY_CLAIM_BYTES),
        integer(ProcessKey.MEMORY_CONNECTION_BYTES),
        number(ProcessKey.MEMORY_REQUEST_BYTES));
  }

  private LimitSettings limits() {
    return new LimitSettings(
        integer(ProcessKey.LIMITS_CONNECTIONS),
        integer(ProcessKey.LIMITS_LINE_BYTES),
        integer(ProcessKey.LIMITS_HEADER_BYTES),
        integer(ProcessKey.LIMITS_BODY_BYTES),
        integer(ProcessKey.LIMITS_EVENT_BYTES),
        integer(ProcessKey.LIMITS_QUEUED_REQUESTS),
        integer(ProcessKey.LIMITS_QUEUED_PER_CUSTOMER),
        number(ProcessKey.LIMITS_READ_TIMEOUT),
        number(ProcessKey.LIMITS_WRITE_TIMEOUT),
        number(ProcessKey.LIMITS_IDLE_TIMEOUT),
        number(ProcessKey.LIMITS_CONNECT_TIMEOUT));
  }

  private OptionalLong randomSeed() {
    return top.number("random-seed", SEED);
  }
}
