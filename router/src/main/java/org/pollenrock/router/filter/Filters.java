package org.pollenrock.router.filter;

import java.util.List;
import java.util.function.LongSupplier;
import org.pollenrock.adapters.engine.EngineClient;
import org.pollenrock.adapters.plain.PlainServiceClient;
import org.pollenrock.core.stream.ResponseVerifier;
import org.pollenrock.router.RouterTimes;
import org.pollenrock.router.decision.Decisions;
import org.pollenrock.router.operator.RouterMetrics;

/** Assembly of the filters. */
public final class Filters {
  private Filters() {}

  /**
   * Creates the chain of all filters.
   *
   * @param decisions answers questions
   * @param engines client of engines
   * @param services client of plain services
   * @param attemptIds identities of attempts
   * @param metrics counts what becomes of requests
   * @param times time limits
   * @param nanoClock monotonic clock
   * @return the chain
   */
  public static FilterChain chain(
      Decisions decisions,
      EngineClient engines,
      PlainServiceClient services,
      AttemptIds attemptIds,
      RouterMetrics metrics,
      RouterTimes times,
      LongSupplier nanoClock) {
    AttemptContext context =
        new AttemptContext(
            engines,
            services,
            attemptIds,
            decisions,
            new Recovery(decisions, metrics, nanoClock),
            new ResponseVerifier(),
            metrics,
            times,
            nanoClock);
    return new FilterChain(
        List.of(
            new ReadFilter(),
            new AuthenticateFilter(),
            new IdentifyFilter(nanoClock),
            new ResolveFilter(),
            new ClaimFilter(decisions),
            new AdmitFilter(decisions),
            new FingerprintFilter(),
            new ChooseFilter(decisions),
            new SendFilter(context),
            new VerifyFilter(),
            new RelayFilter(),
            new FinishFilter(metrics)));
  }
}
