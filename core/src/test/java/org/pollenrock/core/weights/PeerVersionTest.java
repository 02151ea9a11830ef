package org.pollenrock.core.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Guards against versions learned from other instances that are dated or ordered wrongly. */
class PeerVersionTest {
  private static final long MILLI = 1_000_000L;
  private static final String MODEL = "m";

  private final WeightsTargets targets = new WeightsTargets(4_500 * MILLI);

  /** An instance that cannot read the store must not allow older weights for longer. */
  @Test
  void versionOfAPeerIsMandatoryNoLaterThanThere() {
    WeightsTargets reader = new WeightsTargets(4_500 * MILLI);
    reader.recordVersion(MODEL, 2, OptionalLong.of(300 * MILLI), 0);
    long age = reader.maxAgeNanos(MODEL, 2_000 * MILLI).getAsLong();
    assertThat(targets.applyPeerVersion(MODEL, 2, age, 2_000 * MILLI)).isTrue();
    assertThat(targets.requirement(MODEL, 4_199 * MILLI).minAllowed()).isEmpty();
    assertThat(targets.requirement(MODEL, 4_201 * MILLI).minAllowed()).hasValue(2);
  }

  @Test
  void versionThatIsMandatoryAtThePeerIsMandatoryAtOnce() {
    WeightsTargets reader = new WeightsTargets(4_500 * MILLI);
    reader.recordVersion(MODEL, 2, OptionalLong.empty(), 0);
    targets.applyPeerVersion(MODEL, 2, reader.maxAgeNanos(MODEL, 0).getAsLong(), 0);
    assertThat(targets.requirement(MODEL, 0).minAllowed()).hasValue(2);
  }

  /** Datagrams may arrive in another order, or from an instance that is behind. */
  @Test
  void versionsOnlyIncrease() {
    targets.applyPeerVersion(MODEL, 3, 0, 0);
    assertThat(targets.applyPeerVersion(MODEL, 2, 4_500 * MILLI, 0)).isFalse();
    assertThat(targets.applyPeerVersion(MODEL, 3, 0, 4_000 * MILLI)).isFalse();
    assertThat(targets.requirement(MODEL, 4_501 * MILLI).minAllowed()).hasValue(3);
  }

  /** An instance without the store must not try to claim the lease for what it has only heard. */
  @Test
  void onlyReadVersionsAreRolledOut() {
    targets.applyPeerVersion(MODEL, 2, 0, 0);
    assertThat(targets.newestVersions()).isEmpty();
    assertThat(targets.recordVersion(MODEL, 2, OptionalLong.of(5_000 * MILLI), 1_000 * MILLI))
        .isTrue();
    assertThat(targets.newestVersion(MODEL)).hasValue(2);
  }
}
