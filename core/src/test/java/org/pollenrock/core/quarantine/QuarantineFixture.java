package org.pollenrock.core.quarantine;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.dispatch.PromptPart;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.ListedBackend;

/** Prompts, servers and announcements for the tests of this package. */
final class QuarantineFixture implements QuarantineListener {
  static final long MILLI = 1_000_000L;
  static final long SECOND = 1_000_000_000L;
  private static final String MODEL = "m";

  private final CrashQuarantine quarantine = new CrashQuarantine(this);
  private final List<CrashQuarantine.Strike> strikes = new ArrayList<>();
  private final List<Long> cleared = new ArrayList<>();
  private final List<String> quarantined = new ArrayList<>();

  static long hash(String partId) {
    return CrashSuspects.hash(MODEL, partId);
  }

  /** Returns a strike by a send that broke at once. */
  static CrashQuarantine.Strike strike(long part, long server, long nanos) {
    return new CrashQuarantine.Strike(part, server, nanos, nanos);
  }

  CrashQuarantine quarantine() {
    return quarantine;
  }

  /** Returns the announced strikes. */
  List<CrashQuarantine.Strike> strikes() {
    return strikes;
  }

  /** Returns the parts that were announced as cleared. */
  List<Long> cleared() {
    return cleared;
  }

  /** Returns the ids of the parts that were announced as quarantined. */
  List<String> quarantined() {
    return quarantined;
  }

  /** Returns a prompt with the given shared parts and a part of its own. */
  static CrashSuspects prompt(String... sharedPartIds) {
    List<PromptPart> parts = new ArrayList<>();
    for (String id : sharedPartIds) {
      parts.add(new PromptPart(id, 100));
    }
    parts.add(new PromptPart("own", 20));
    return new CrashSuspects(
        Optional.of(new Prompt(MODEL, 100 * sharedPartIds.length + 20, 10, parts)),
        Optional.empty());
  }

  /** Returns a request with the given body and shared parts of its prompt. */
  static CrashSuspects request(String body, String... sharedPartIds) {
    RequestFingerprint fingerprint =
        new RequestFingerprint("customer", "/path", () -> ByteBuffer.wrap(body.getBytes()));
    return new CrashSuspects(prompt(sharedPartIds).prompt(), Optional.of(fingerprint));
  }

  static Backend server(String id) {
    return server(id, 1);
  }

  static Backend server(String id, long startMillis) {
    return new Backend(
        new ListedBackend(id, startMillis, "v1", "llm", "10.0.0.1", 80, "near", 8, true, Map.of()),
        0);
  }

  /** Breaks the sends with the given prompts, and ends their server a millisecond later. */
  void crash(Backend server, long nanos, CrashSuspects... prompts) {
    for (CrashSuspects prompt : prompts) {
      quarantine.recordBroken(server, prompt, nanos, nanos);
    }
    quarantine.recordServerEnded(server, nanos + MILLI);
  }

  @Override
  public void struck(CrashQuarantine.Strike strike) {
    strikes.add(strike);
  }

  @Override
  public void cleared(long part, long nanos) {
    cleared.add(part);
  }

  @Override
  public void quarantined(long part, String partId) {
    quarantined.add(partId);
  }
}
