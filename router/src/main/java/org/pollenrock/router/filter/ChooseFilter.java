package org.pollenrock.router.filter;

import java.util.Set;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Result;
import org.pollenrock.core.error.Step;
import org.pollenrock.router.decision.AttemptEnd;
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
    boolean asked =
        switch (exchange.route()) {
          case Route.Model model ->
              decisions.chooseEngine(
                  exchange.engineQuestion(), result -> answered(exchange, result));
          case Route.Service service ->
              decisions.choosePlain(
                  service.backend(),
                  Set.copyOf(exchange.avoided()),
                  result -> answered(exchange, result));
        };
    if (!asked) {
      exchange.refuse(ErrorCode.OVERLOADED, "too many requests wait for a decision");
    }
  }

  private void answered(Exchange exchange, Result<Choice> result) {
    switch (result) {
      case Result.Success<Choice>(Choice choice) ->
          exchange.onLoop(
              () -> {
                exchange.choice(choice);
                exchange.proceed();
              },
              () -> giveBack(choice));
      case Result.Failure<Choice>(var error) -> exchange.onLoop(() -> exchange.fail(error));
    }
  }

  /** The request ended while the choice was made, so nothing will be sent. */
  private void giveBack(Choice choice) {
    if (choice instanceof Choice.Engine engine) {
      decisions.engineEnded(engine, AttemptEnd.CANCELLED);
    }
  }
}
