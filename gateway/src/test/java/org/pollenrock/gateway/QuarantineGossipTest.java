package org.pollenrock.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.dispatch.PromptPart;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.quarantine.PartQuarantine;
import org.pollenrock.protocol.generated.FleetNews;

/**
 * Guards against instances that do not learn in time which part of prompts crashes servers, in
 * fleets of different sizes whose datagrams are late or lost.
 */
class QuarantineGossipTest {
  /** Time in which an observation has to reach all instances, in milliseconds. */
  private static final int CONTACT_MILLIS = 3_000;

  private static final double LOSS = 0.2;
  private static final int MAX_DELAY_MILLIS = 40;
  private static final int MAX_DATAGRAM_BYTES = 1_400;
  private static final long SEED = 7301;
  private static final Prompt BAD = prompt("bad");
  private static final Prompt SOUND = prompt("sound");

  private final Random random = new Random(SEED);
  private final MockTicker ticker = Ticker.newMockTicker();
  private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(ticker).build();
  private final Map<InetSocketAddress, Instance> fleet = new HashMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private BiPredicate<Instance, Instance> connected = (from, to) -> true;
  private int crashes;
  private int largestDatagram;

  /** Instance whose datagrams are delayed and lost at random. */
  private final class Instance implements PartQuarantine.Listener {
    private final PartQuarantine quarantine = new PartQuarantine(this);
    private final InetSocketAddress address;
    private final QuarantineGossip gossip;
    private final List<String> written = new ArrayList<>();
    private int datagrams;

    private Instance(int number) {
      address = InetSocketAddress.createUnresolved("instance-" + number, 1);
      gossip =
          new QuarantineGossip(
              channel.eventLoop(), quarantine, number, ticker::nanoTime, this::send);
      gossip.onOwnQuarantine((part, partId) -> written.add(partId));
      channel.eventLoop().schedule(gossip::start, random.nextInt(1_000), TimeUnit.MILLISECONDS);
    }

    private void send(FleetNews.Builder message, List<InetSocketAddress> recipients) {
      FleetNews sent = message.setDataCentre("data-centre-1").build();
      largestDatagram = Math.max(largestDatagram, sent.getSerializedSize());
      for (InetSocketAddress recipient : recipients) {
        datagrams++;
        Instance receiver = fleet.get(recipient);
        if (connected.test(this, receiver) && random.nextDouble() >= LOSS) {
          channel
              .eventLoop()
              .schedule(
                  () -> receiver.gossip.apply(sent, address, ticker.nanoTime()),
                  random.nextInt(MAX_DELAY_MILLIS),
                  TimeUnit.MILLISECONDS);
        }
      }
    }

    private boolean isQuarantined(Prompt prompt) {
      return quarantine.isQuarantined(prompt, ticker.nanoTime());
    }

    /** Crashes a server by a request of this instance. */
    private void crash(Prompt prompt) {
      Backend server =
          new Backend(
              new ListedBackend(
                  "engine-" + ++crashes, 1, "llm", "10.0.0.1", 80, "dc", 8, true, Map.of()),
              ticker.nanoTime());
      quarantine.recordBroken(server, prompt, ticker.nanoTime());
      quarantine.recordServerEnded(server, ticker.nanoTime());
    }

    @Override
    public void struck(PartQuarantine.Strike strike) {
      gossip.struck(strike);
    }

    @Override
    public void cleared(long part, long nanos) {
      gossip.cleared(part, nanos);
    }

    @Override
    public void quarantined(long part, String partId) {
      gossip.quarantined(part, partId);
    }
  }

  private static Prompt prompt(String sharedPart) {
    return new Prompt(
        "m", 120, 10, List.of(new PromptPart(sharedPart, 100), new PromptPart("own", 20)));
  }

  private void addInstances(int count) {
    for (int i = 0; i < count; i++) {
      Instance instance = new Instance(instances.size());
      instances.add(instance);
      fleet.put(instance.address, instance);
    }
    for (Instance instance : instances) {
      instance.gossip.updatePeers(
          instances.stream().filter(other -> other != instance).map(o -> o.address).toList());
    }
    run(1_000);
  }

  private void run(int millis) {
    for (int i = 0; i < millis; i++) {
      ticker.advance(1, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
  }

  /** Crashes servers at different instances, each as an episode of its own. */
  private void crashAtDifferentInstances(Prompt prompt, int count) {
    for (int i = 0; i < count; i++) {
      run(i == 0 ? 0 : 400);
      instances.get(random.nextInt(instances.size())).crash(prompt);
    }
  }

  private long quarantinedCount(Prompt prompt) {
    return instances.stream().filter(each -> each.isQuarantined(prompt)).count();
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 38, 396})
  void strikesOfDifferentInstancesQuarantineThePartEverywhere(int size) {
    addInstances(size);
    crashAtDifferentInstances(BAD, PartQuarantine.EPISODES);
    run(CONTACT_MILLIS);
    assertThat(quarantinedCount(BAD)).isEqualTo(size);
    assertThat(quarantinedCount(SOUND)).isZero();
  }

  /**
   * The writers of the store must stay few, however many instances the strikes reach, but one must
   * write even if it has missed the strikes of the others.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void onlyInstancesThatFoundAStrikeWriteTheQuarantine(long seed) {
    random.setSeed(seed);
    addInstances(38);
    crashAtDifferentInstances(BAD, PartQuarantine.EPISODES);
    run(CONTACT_MILLIS);
    assertThat(instances.stream().flatMap(each -> each.written.stream()))
        .containsOnly("bad")
        .hasSizeLessThanOrEqualTo(PartQuarantine.EPISODES);
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 38, 396})
  void instanceThatStartsLaterLearnsTheQuarantine(int size) {
    addInstances(size);
    crashAtDifferentInstances(BAD, PartQuarantine.EPISODES);
    run(10 * CONTACT_MILLIS);
    addInstances(1);
    run(CONTACT_MILLIS - 1_000);
    assertThat(instances.getLast().isQuarantined(BAD)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(ints = {4, 38, 396})
  void quarantineSpreadsAfterACutHasHealed(int size) {
    addInstances(size);
    List<Instance> near = List.copyOf(instances.subList(0, size / 2));
    connected = (from, to) -> near.contains(from) == near.contains(to);
    for (int i = 0; i < PartQuarantine.EPISODES; i++) {
      near.get(random.nextInt(near.size())).crash(BAD);
      run(400);
    }
    run(2 * CONTACT_MILLIS);
    assertThat(quarantinedCount(BAD)).isEqualTo(near.size());
    connected = (from, to) -> true;
    run(CONTACT_MILLIS);
    assertThat(quarantinedCount(BAD)).isEqualTo(size);
  }

  /** Instances that repeat what others told them must not keep a quarantine alive for ever. */
  @Test
  void quarantineEndsEverywhere() {
    addInstances(4);
    crashAtDifferentInstances(BAD, PartQuarantine.EPISODES);
    run((int) TimeUnit.NANOSECONDS.toMillis(PartQuarantine.QUARANTINE_NANOS) + CONTACT_MILLIS);
    assertThat(quarantinedCount(BAD)).isZero();
  }

  /**
   * A late announcement must not quarantine again a part that has been found sound since, and an
   * instance that missed the clearing must learn of it.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void clearedPartIsClearedEverywhere(long seed) {
    random.setSeed(seed);
    addInstances(38);
    crashAtDifferentInstances(SOUND, PartQuarantine.EPISODES);
    run(CONTACT_MILLIS);
    assertThat(quarantinedCount(SOUND)).isEqualTo(38);
    instances.getFirst().quarantine.recordCompletion(SOUND, ticker.nanoTime());
    run(CONTACT_MILLIS);
    assertThat(quarantinedCount(SOUND)).isZero();
  }

  /** Guards against a storm of clearings when a part in wide use completes everywhere at once. */
  @Test
  void fewInstancesSendTheClearingOfAPartInWideUse() {
    addInstances(396);
    instances.getFirst().crash(SOUND);
    run(CONTACT_MILLIS);
    int before = instances.stream().mapToInt(each -> each.datagrams).sum();
    for (Instance instance : instances) {
      instance.quarantine.recordCompletion(SOUND, ticker.nanoTime());
    }
    run(CONTACT_MILLIS);
    int sent = instances.stream().mapToInt(each -> each.datagrams).sum() - before;
    assertThat(sent).isLessThan(instances.size() * instances.size() / 2);
  }

  /** An instance must stay responsive while many servers end with many parts. */
  @Test
  void massFailureSendsABoundedNumberOfDatagramsOfUsualSize() {
    addInstances(38);
    for (int i = 0; i < 1_000; i++) {
      instances.getFirst().crash(prompt("part-" + i));
    }
    int seconds = 5;
    run(seconds * 1_000);
    assertThat(instances.getFirst().datagrams).isLessThanOrEqualTo(seconds * 1_000);
    assertThat(largestDatagram).isLessThanOrEqualTo(MAX_DATAGRAM_BYTES);
  }
}
