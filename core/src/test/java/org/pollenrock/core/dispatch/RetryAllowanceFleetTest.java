package org.pollenrock.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.IgnoredAnnouncements;

/** Guards against instances that each take the whole slack of a retry budget. */
class RetryAllowanceFleetTest {
  private static final long SECOND = Fixtures.SECOND;
  private static final int SLACK = 56;

  private static Dispatcher startedDispatcher() {
    Fleet fleet = new Fleet();
    fleet.applyEntry(Fixtures.plainServer("a", "near", 100_000), 0);
    return Fixtures.dispatcher(fleet, new CrashQuarantine(new IgnoredAnnouncements()), SLACK);
  }

  private static int resendAsOftenAsAllowed(Dispatcher dispatcher) {
    int resends = 0;
    while (dispatcher.resubmit(
            Fixtures.request("r", Optional.empty(), 3, SECOND), Set.of(), true, SECOND)
        instanceof DispatchResult.Sent) {
      resends++;
    }
    return resends;
  }

  /** Instances that never learned of each other, as when the store can't be read. */
  @ParameterizedTest
  @ValueSource(ints = {4, 38, 396})
  void instancesThatDoNotKnowEachOtherStayWithinTheSlack(int instances) {
    int resends = 0;
    for (int instance = 0; instance < instances; instance++) {
      resends += resendAsOftenAsAllowed(startedDispatcher());
    }
    assertThat(resends).isLessThanOrEqualTo(SLACK);
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 4, 38, 396})
  void instancesThatKnowEachOtherStayWithinTheSlack(int instances) {
    List<Dispatcher> dispatchers = new ArrayList<>();
    for (int instance = 0; instance < instances; instance++) {
      dispatchers.add(startedDispatcher());
    }
    dispatchers.forEach(dispatcher -> dispatcher.setInstanceCount(instances));
    int resends =
        dispatchers.stream().mapToInt(RetryAllowanceFleetTest::resendAsOftenAsAllowed).sum();
    assertThat(resends).isLessThanOrEqualTo(SLACK);
  }

  /** A single instance that knows that it is alone has the whole slack but for the margin. */
  @ParameterizedTest
  @ValueSource(ints = {1})
  void singleInstanceUsesMostOfTheSlack(int instances) {
    Dispatcher dispatcher = startedDispatcher();
    dispatcher.setInstanceCount(instances);
    assertThat(resendAsOftenAsAllowed(dispatcher)).isGreaterThan(SLACK / 2);
  }
}
