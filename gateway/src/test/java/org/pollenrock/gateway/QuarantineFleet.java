package org.pollenrock.gateway;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.dispatch.PromptPart;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.ListedBackend;
import org.pollenrock.core.placement.RendezvousHash;
import org.pollenrock.core.quarantine.CrashQuarantine;
import org.pollenrock.core.quarantine.CrashSuspects;
import org.pollenrock.core.quarantine.QuarantineListener;
import org.pollenrock.core.quarantine.RequestFingerprint;
import org.pollenrock.protocol.generated.FleetNews;

/**
 * Instances that exchange quarantined parts of prompts in simulated time, by datagrams that are
 * late or lost.
 */
final class QuarantineFleet {
  private static final double LOSS = 0.2;
  private static final int MAX_DELAY_MILLIS = 40;

  private final Random random;
  private final MockTicker ticker = Ticker.newMockTicker();
  private final EmbeddedChannel channel = EmbeddedChannel.builder().ticker(ticker).build();
  private final Map<InetSocketAddress, Instance> fleet = new HashMap<>();
  private final List<Instance> instances = new ArrayList<>();
  private BiPredicate<Instance, Instance> connected = (from, to) -> true;
  private int crashes;
  private int largestDatagram;

  /** Creates a fleet without instances, whose delays and losses depend on the given numbers. */
  QuarantineFleet(Random random) {
    this.random = random;
  }

  /** Instance whose datagrams are delayed and lost at random. */
  final class Instance implements QuarantineListener {
    private final CrashQuarantine quarantine = new CrashQuarantine(this);
    private final InetSocketAddress address;
    private final QuarantineGossip gossip;
    private final List<String> written = new ArrayList<>();
    private int datagrams;

    private Instance(int number) {
      address = InetSocketAddress.createUnresolved("instance-" + number, 1);
      gossip =
          new QuarantineGossip(
              channel.eventLoop(), quarantine, number, ticker::nanoTime, this::send);
      quarantine.setTrialRank(() -> rank(number));
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

    boolean isQuarantined(CrashSuspects prompt) {
      return quarantine.isQuarantined(prompt, ticker.nanoTime());
    }

    CrashQuarantine quarantine() {
      return quarantine;
    }

    /** Returns the ids of the parts that the instance would store. */
    List<String> written() {
      return written;
    }

    /** Returns the number of datagrams that the instance has sent. */
    int datagrams() {
      return datagrams;
    }

    /** Crashes a server by a request of this instance. */
    void crash(CrashSuspects prompt) {
      Backend server =
          new Backend(
              new ListedBackend(
                  "engine-" + ++crashes, 1, "v1", "llm", "10.0.0.1", 80, "dc", 8, true, Map.of()),
              ticker.nanoTime());
      quarantine.recordBroken(server, prompt, ticker.nanoTime(), ticker.nanoTime());
      quarantine.recordServerEnded(server, ticker.nanoTime());
    }

    @Override
    public void struck(CrashQuarantine.Strike strike) {
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

    @Override
    public void tried(long part, long nanos) {
      gossip.tried(part, nanos);
    }

    @Override
    public void released(long part) {
      gossip.released(part);
    }
  }

  /** Returns a request with the given body, whose prompt has one shared part. */
  static CrashSuspects request(String body) {
    RequestFingerprint fingerprint =
        new RequestFingerprint("customer", "/path", () -> ByteBuffer.wrap(body.getBytes()));
    return new CrashSuspects(prompt("shared").prompt(), Optional.of(fingerprint));
  }

  /** Returns a prompt with one shared part. */
  static CrashSuspects prompt(String sharedPart) {
    return new CrashSuspects(
        Optional.of(
            new Prompt(
                "m", 120, 10, List.of(new PromptPart(sharedPart, 100), new PromptPart("own", 20)))),
        Optional.empty());
  }

  List<Instance> instances() {
    return instances;
  }

  /** Returns the size of the largest datagram in bytes. */
  int largestDatagram() {
    return largestDatagram;
  }

  long nowNanos() {
    return ticker.nanoTime();
  }

  /** Sets which instances receive datagrams from which others. */
  void connect(BiPredicate<Instance, Instance> predicate) {
    connected = predicate;
  }

  /** Replaces an instance by one that knows nothing, as a restart of its process does. */
  Instance restart(int number) {
    Instance instance = new Instance(number);
    instances.set(number, instance);
    fleet.put(instance.address, instance);
    updatePeers();
    return instance;
  }

  /** Returns the position of an instance in an order that has nothing to do with the numbers. */
  private int rank(int number) {
    return (int)
        IntStream.range(0, instances.size())
            .filter(other -> RendezvousHash.mix(other) < RendezvousHash.mix(number))
            .count();
  }

  /** Starts instances and waits a second. */
  void addInstances(int count) {
    for (int i = 0; i < count; i++) {
      Instance instance = new Instance(instances.size());
      instances.add(instance);
      fleet.put(instance.address, instance);
    }
    updatePeers();
    run(1_000);
  }

  /** Lets milliseconds pass. */
  void run(int millis) {
    for (int i = 0; i < millis; i++) {
      ticker.advance(1, TimeUnit.MILLISECONDS);
      channel.runScheduledPendingTasks();
    }
  }

  private void updatePeers() {
    for (Instance instance : instances) {
      instance.gossip.updatePeers(
          instances.stream().filter(other -> other != instance).map(o -> o.address).toList());
    }
  }
}
