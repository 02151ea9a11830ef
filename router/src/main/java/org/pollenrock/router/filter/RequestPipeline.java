package org.pollenrock.router.filter;

import java.util.Optional;
import java.util.UUID;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.pollenrock.router.caller.CallerRequest;
import org.pollenrock.router.caller.RequestHandler;
import org.pollenrock.router.caller.ResponseHeaders;
import org.pollenrock.router.caller.ResponseSink;
import org.pollenrock.router.settings.RouterSettings;

/** Starts each request on its way through the filters, under the settings of that moment. */
public final class RequestPipeline implements RequestHandler {
  private static final int MAX_REQUEST_ID = 128;

  private final FilterChain chain;
  private final Supplier<Optional<RouterSettings>> settings;
  private final LongSupplier nanoClock;

  /**
   * Creates a pipeline.
   *
   * @param chain the filters
   * @param settings the newest settings, empty before the first
   * @param nanoClock monotonic clock
   */
  public RequestPipeline(
      FilterChain chain, Supplier<Optional<RouterSettings>> settings, LongSupplier nanoClock) {
    this.chain = chain;
    this.settings = settings;
    this.nanoClock = nanoClock;
  }

  @Override
  public void handle(CallerRequest request, ResponseSink sink) {
    new Exchange(request, sink, chain, requestId(request), nanoClock.getAsLong(), settings.get())
        .start();
  }

  private static String requestId(CallerRequest request) {
    String given = request.headers().get(ResponseHeaders.REQUEST_ID, "");
    boolean usable =
        !given.isEmpty()
            && given.length() <= MAX_REQUEST_ID
            && given.chars().allMatch(c -> c > ' ' && c < 0x7F);
    return usable ? given : UUID.randomUUID().toString();
  }
}
