package org.pollenrock.router.filter;

import java.util.Set;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.error.Step;
import org.pollenrock.router.decision.Choice;
import org.pollenrock.router.decision.Decisions;

/** Chooses the server. */
final class ChooseFilter implements Filter {
  private final Decisions decisions;

  ChooseFilter(Decisions decisions) {
    this.decisions = decisions;
  }

  @Override
  public Step step() {
    return Step.CHOOSE;
  }

  @Override
  public void apply(Exchange exchange) {
    Set<org.pollenrock.core.model.BackendServerId> avoided = Set.copyOf(exchange.avoided());
    boolean asked =
        switch (exchange.route()) {
          case Route.Model model ->
              decisions.chooseEngine(
                  exchange.caller().customer(),
                  exchange.prompt(),
                  avoided,
                  result -> answered(exchange, result));
          case Route.Service service ->
              decisions.choosePlain(
                  service.service().backend(), avoided, result -> answered(exchange, result));
        };
    if (!asked) {
      exchange.refuse(ErrorCode.OVERLOADED, "too many requests wait for a decision");
    }
  }

  private static void answered(Exchange exchange, Result<Choice> result) {
    exchange.onLoop(
        () -> {
          switch (result) {
            case Result.Success<Choice>(Choice choice) -> {
              exchange.choice(choice);
              exchange.proceed();
            }
            case Result.Failure<Choice>(var error) -> exchange.fail(error);
          }
        });
  }
}
