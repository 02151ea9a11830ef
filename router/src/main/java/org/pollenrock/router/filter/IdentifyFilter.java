package org.pollenrock.router.filter;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Step;
import org.pollenrock.core.settings.RequestTraits;
import org.pollenrock.router.settings.RequestValues;

/** Finds the kind of the request, the values in force for it, and its deadline. */
final class IdentifyFilter implements Filter {
  private static final String DEADLINE_HEADER = "X-Request-Deadline-Ms";

  private static final String KIND_HEADER = "X-Request-Kind";

  private final LongSupplier nanoClock;

  IdentifyFilter(LongSupplier nanoClock) {
    this.nanoClock = nanoClock;
  }

  @Override
  public Step step() {
    return Step.IDENTIFY;
  }

  @Override
  public void apply(Exchange exchange) {
    RequestValues values = exchange.knownSettings().values(exchange.caller(), traits(exchange));
    exchange.values(values);
    Optional<Duration> asked;
    try {
      asked =
          Optional.ofNullable(exchange.request().headers().get(DEADLINE_HEADER))
              .map(text -> Duration.ofMillis(Long.parseLong(text.trim())));
    } catch (NumberFormatException e) {
      exchange.refuse(ErrorCode.MALFORMED_REQUEST, DEADLINE_HEADER + " is not a number");
      return;
    }
    Duration most = Duration.ofNanos(values.effective().deadlineNanos());
    Duration left = asked.filter(duration -> duration.compareTo(most) < 0).orElse(most);
    exchange.deadlineNanos(exchange.arrivedNanos() + left.toNanos());
    if (exchange.deadlineNanos() - nanoClock.getAsLong() <= 0) {
      exchange.refuse(ErrorCode.DEADLINE_UNREACHABLE, "the deadline has passed");
      return;
    }
    armDeadline(exchange);
    exchange.proceed();
  }

  private void armDeadline(Exchange exchange) {
    long left = exchange.deadlineNanos() - nanoClock.getAsLong();
    var timer = exchange.loop().schedule(() -> expire(exchange), left, TimeUnit.NANOSECONDS);
    exchange.atEnd(() -> timer.cancel(false));
  }

  private static void expire(Exchange exchange) {
    exchange.fail(Errors.deadlinePassed(exchange));
  }

  private static RequestTraits traits(Exchange exchange) {
    Optional<String> kind = Optional.ofNullable(exchange.request().headers().get(KIND_HEADER));
    if (exchange.call() instanceof ParsedCall.Completion completion) {
      return new RequestTraits(
          kind, Optional.of(completion.model()), Optional.empty(), completion.maxTokens());
    }
    Optional<String> service =
        exchange.knownSettings().tree().serviceOf(exchange.request().path()).map(Map.Entry::getKey);
    return new RequestTraits(kind, Optional.empty(), service, OptionalLong.empty());
  }
}
