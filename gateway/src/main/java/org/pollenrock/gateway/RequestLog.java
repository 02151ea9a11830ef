package org.pollenrock.gateway;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.dispatch.CacheDirectives;
import org.pollenrock.core.dispatch.DispatchRequest;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.dispatch.Selection;
import org.pollenrock.core.limits.QuotaExcess;

/** Writes the log line of a request that has ended. */
final class RequestLog {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private RequestLog() {}

  /**
   * How a request was handled.
   *
   * @param route name of its route, if it matched one
   * @param customer name of its customer, if it has one
   * @param request properties for server selection, if it got that far
   * @param choice the last choice of a server, if there was one
   * @param quotaExcess why it was over its quota, if it was
   * @param configVersion version of the configuration that applied
   * @param sendCount number of sends
   */
  record Handling(
      Optional<String> route,
      Optional<String> customer,
      Optional<DispatchRequest> request,
      Optional<Selection.Chosen> choice,
      Optional<QuotaExcess> quotaExcess,
      long configVersion,
      int sendCount) {}

  /**
   * How a request ended.
   *
   * @param outcome outcome of the request
   * @param status status of the response; 0 if there is none
   * @param cause cause of a refusal or failure
   * @param waitedNanos time from the arrival to the first send
   * @param firstByteNanos time from the arrival to the first byte of a stream; 0 if there is none
   * @param totalNanos time from the arrival to the end
   * @param events number of relayed events
   */
  record Ending(
      String outcome,
      int status,
      Optional<String> cause,
      long waitedNanos,
      long firstByteNanos,
      long totalNanos,
      long events) {}

  /** Writes the line. A request that was answered at the first send is routine. */
  static void write(
      EventLog log, CallerRequestMetadata metadata, Handling handling, Ending ending) {
    boolean routine =
        ending.cause().isEmpty()
            && handling.sendCount() == 1
            && metadata.unreadableHeaders().isEmpty();
    Optional<DispatchRequest> request = handling.request();
    Optional<Selection.Chosen> choice = handling.choice();
    Optional<QuotaExcess> excess = handling.quotaExcess();
    log.line("request", routine ? EventLog.Importance.ROUTINE : EventLog.Importance.ESSENTIAL)
        .with("id", metadata.id())
        .with("route", handling.route().orElse(null))
        .with("customer", handling.customer().orElse(null))
        .with("service", request.map(DispatchRequest::service).orElse(null))
        .with("config", handling.configVersion())
        .with("urgency", request.map(DispatchRequest::urgency).orElse(-1))
        .with("outcome", ending.outcome())
        .with("status", ending.status())
        .with("cause", ending.cause().orElse(null))
        .with("sends", handling.sendCount())
        .with("server", choice.map(chosen -> chosen.backend().entry().id()).orElse(null))
        .with(
            "software",
            choice.map(chosen -> chosen.backend().entry().softwareVersion()).orElse(null))
        .with("resumed_id", metadata.resumedId().orElse(null))
        .with("after_event", afterEvent(metadata))
        .with("placement", choice.map(chosen -> chosen.reason().name()).orElse(null))
        .with("time_percent", timePercent(choice))
        .with("fetched_from", choice.flatMap(Selection.Chosen::fetchFrom).orElse(null))
        .with("deferred", choice.filter(Selection.Chosen::deferred).map(yes -> "true").orElse(null))
        .with(
            "prompt",
            metadata.prompt().map(Prompt::affinityHash).map(Long::toHexString).orElse(null))
        .with("weights", weightsVersion(metadata, choice))
        .with(
            "cache_scope",
            choice
                .flatMap(Selection.Chosen::cacheDirectives)
                .map(CacheDirectives::scope)
                .orElse(null))
        .with("prompt_tokens", request.map(DispatchRequest::promptTokens).orElse(0L))
        .with("shared_tokens", metadata.sharedTokens())
        .with("quota_left", excess.map(quota -> figure(quota.balance())).orElse(null))
        .with("quota_share", excess.map(quota -> figure(quota.sharePerSecond())).orElse(null))
        .with("quota_rate", excess.map(quota -> figure(quota.ratePerSecond())).orElse(null))
        .with("waited_ms", ending.waitedNanos() / NANOS_PER_MILLI)
        .with("events", ending.events())
        .with("first_byte_ms", ending.firstByteNanos() / NANOS_PER_MILLI)
        .with("total_ms", ending.totalNanos() / NANOS_PER_MILLI)
        .with("unreadable_headers", metadata.unreadableHeaderNames().orElse(null))
        .write();
  }

  /** Returns the measured time of the server relative to the usual one; null if it is usual. */
  private static String timePercent(Optional<Selection.Chosen> choice) {
    return choice
        .map(chosen -> chosen.backend().speed().factor())
        .filter(factor -> factor != 1)
        .map(factor -> Long.toString(Math.round(factor * 100)))
        .orElse(null);
  }

  /** Returns the event after which the caller takes up a stream; null if it begins one. */
  private static String afterEvent(CallerRequestMetadata metadata) {
    OptionalLong number = metadata.lastEventNumber();
    return number.isPresent() ? Long.toString(number.getAsLong()) : null;
  }

  private static String figure(double amount) {
    return String.format(Locale.ROOT, "%.1f", amount);
  }

  private static long weightsVersion(
      CallerRequestMetadata metadata, Optional<Selection.Chosen> choice) {
    if (choice.isEmpty() || metadata.prompt().isEmpty()) {
      return 0;
    }
    return choice.get().backend().weightsVersion(metadata.prompt().get().model()).orElse(0);
  }
}
