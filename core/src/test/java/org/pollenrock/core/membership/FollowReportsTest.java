package org.pollenrock.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenrock.core.model.InstanceId;

/**
 * Guards against servers whose events nobody follows, and against more followers than a server
 * accepts, in a fleet without requests, with lost messages and with failed instances.
 */
class FollowReportsTest {
  private static final long MILLI = 1_000_000L;
  private static final long STEP_MILLIS = 250;
  private static final long REPORT_MILLIS = 1_000;

  /** Time after which an instance that was not heard no longer takes part. */
  private static final long LIVE_MILLIS = 4_000;

  private static final long SERVER = 7;

  /** Instances of one data centre that hear of each other only by reports. */
  private static final class Fleet {
    private final List<InstanceId> ids;
    private final List<FollowReports> reports = new ArrayList<>();
    private final boolean[] following;
    private final long[][] heardMillis;
    private IntPredicate runs = instance -> true;
    private IntPredicate reachesServer = instance -> true;
    private double lossRate;
    private final SplittableRandom random = new SplittableRandom(5);
    private long nowMillis;

    private Fleet(int size) {
      ids = IntStream.range(0, size).mapToObj(i -> new InstanceId("10.0.0." + i)).toList();
      ids.forEach(id -> reports.add(new FollowReports()));
      following = new boolean[size];
      heardMillis = new long[size][size];
    }

    private void step() {
      for (int i = 0; i < ids.size(); i++) {
        following[i] = runs.test(i) && decide(i);
      }
      if (nowMillis % REPORT_MILLIS == 0) {
        IntStream.range(0, ids.size()).filter(this::isReporting).forEach(this::report);
      }
      nowMillis += STEP_MILLIS;
    }

    private boolean decide(int self) {
      reports.get(self).sweep(nowMillis * MILLI);
      List<InstanceId> live =
          IntStream.range(0, ids.size())
              .filter(i -> i == self || nowMillis - heardMillis[self][i] <= LIVE_MILLIS)
              .mapToObj(ids::get)
              .toList();
      return reports
          .get(self)
          .shouldFollow(
              SERVER, "engine", ids.get(self), live, false, following[self], 0, nowMillis * MILLI);
    }

    private boolean isReporting(int instance) {
      return following[instance] && reachesServer.test(instance);
    }

    private void report(int sender) {
      for (int i = 0; i < ids.size(); i++) {
        if (i != sender && random.nextDouble() >= lossRate) {
          heardMillis[i][sender] = nowMillis;
          reports.get(i).recordReport(SERVER, ids.get(sender), nowMillis * MILLI);
        }
      }
    }

    private void run(long millis) {
      for (long end = nowMillis + millis; nowMillis < end; ) {
        step();
      }
    }

    private long followers() {
      return IntStream.range(0, ids.size()).filter(i -> following[i]).count();
    }

    private int follower() {
      return IntStream.range(0, ids.size()).filter(this::isReporting).findFirst().orElse(-1);
    }
  }

  /** Load pattern: a started fleet without requests, so that only followers send messages. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 8, 20, 132})
  void oneInstanceFollowsInAFleetWithoutRequests(int size) {
    Fleet fleet = new Fleet(size);
    for (int step = 0; step < 80; step++) {
      fleet.step();
      assertThat(fleet.followers()).isEqualTo(1);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 8, 20, 132})
  void lostFollowerIsReplacedInAboutTwoSeconds(int size) {
    Fleet fleet = new Fleet(size);
    fleet.run(2_000);
    int lost = fleet.follower();
    fleet.runs = instance -> instance != lost;
    long lostMillis = fleet.nowMillis;
    while (fleet.follower() < 0) {
      fleet.step();
    }
    assertThat(fleet.nowMillis - lostMillis).isLessThanOrEqualTo(2_000 + STEP_MILLIS);
    fleet.run(6_000);
    assertThat(fleet.followers()).isEqualTo(1);
  }

  /** The first instance may be cut off from one server only; it goes on to try. */
  @Test
  void instanceThatDoesNotReachTheServerIsReplacedAndTakesItsPlaceAgain() {
    Fleet fleet = new Fleet(8);
    fleet.run(2_000);
    int cutOff = fleet.follower();
    fleet.reachesServer = instance -> instance != cutOff;
    fleet.run(3_000);
    assertThat(fleet.follower()).isNotNegative();
    fleet.run(6_000);
    assertThat(fleet.followers()).isLessThanOrEqualTo(2);
    fleet.reachesServer = instance -> true;
    fleet.run(2_000);
    assertThat(fleet.follower()).isEqualTo(cutOff);
    assertThat(fleet.followers()).isEqualTo(1);
  }

  /** A server that is gone must not be polled by all instances in turn. */
  @Test
  void fewInstancesPollAServerThatDoesNotRespond() {
    Fleet fleet = new Fleet(20);
    fleet.reachesServer = instance -> false;
    fleet.run(LIVE_MILLIS);
    assertThat(fleet.followers()).isLessThanOrEqualTo(3);
  }

  @Test
  void lostReportsRarelyCauseASecondFollower() {
    Fleet fleet = new Fleet(20);
    fleet.lossRate = 0.02;
    long followers = 0;
    int steps = 400;
    for (int step = 0; step < steps; step++) {
      fleet.step();
      followers += fleet.followers();
    }
    assertThat(fleet.followers()).isBetween(1L, 2L);
    assertThat((double) followers / steps).isLessThan(1.2);
  }

  @Test
  void instancesOfAnotherDataCentreWaitLonger() {
    FollowReports reports = new FollowReports();
    InstanceId self = new InstanceId("10.0.0.1");
    List<InstanceId> live = List.of(self);
    long silence = FollowReports.SILENCE_NANOS;
    assertThat(reports.shouldFollow(SERVER, "engine", self, live, true, false, 0, 3 * silence))
        .isFalse();
    assertThat(reports.shouldFollow(SERVER, "engine", self, live, true, false, 0, 5 * silence))
        .isTrue();
  }

  @Test
  void nextFollowerGoesOnWhereTheLastOneHasReadTo() {
    FollowReports reports = new FollowReports();
    CachePosition position = new CachePosition(3, 118);
    reports.recordPosition(SERVER, position, new InstanceId("10.0.0.2"), 0);
    reports.sweep(2 * FollowReports.SILENCE_NANOS);
    assertThat(reports.position(SERVER)).contains(position);
  }
}
