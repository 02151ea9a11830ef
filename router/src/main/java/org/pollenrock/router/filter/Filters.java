package org.pollenrock.router.filter;

import java.util.List;
import java.util.function.LongSupplier;
import org.pollenrock.adapters.engine.EngineClient;
import org.pollenrock.adapters.plain.PlainServiceClient;
import org.pollenrock.router.RouterLimits;
import org.pollenrock.router.decision.Decisions;

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
   * @param limits time limits
   * @param nanoClock monotonic clock
   * @return the chain
   */
  public static FilterChain chain(
      Decisions decisions,
      EngineClient engines,
      PlainServiceClient services,
      AttemptIds attemptIds,
      RouterLimits limits,
      LongSupplier nanoClock) {
    AttemptContext context = new AttemptContext(engines, services, attemptIds, limits, nanoClock);
    return new FilterChain(
        List.of(
            new ReadFilter(),
            new AuthenticateFilter(),
            new IdentifyFilter(nanoClock),
            new ResolveFilter(),
            new ClaimFilter(),
            new AdmitFilter(),
            new FingerprintFilter(),
            new ChooseFilter(decisions),
            new SendFilter(context),
            new VerifyFilter(),
            new RelayFilter(),
            new FinishFilter()));
  }
}
