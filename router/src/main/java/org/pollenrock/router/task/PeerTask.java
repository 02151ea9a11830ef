package org.pollenrock.router.task;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.pollenrock.core.limits.LoanMessage;
import org.pollenrock.core.membership.RouterHeartbeat;
import org.pollenrock.core.membership.ServerEvidence;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.settings.LogRecord;
import org.pollenrock.protocol.generated.Heartbeat;
import org.pollenrock.protocol.generated.PeerFrame;
import org.pollenrock.protocol.generated.ServerState;
import org.pollenrock.protocol.generated.ServerStates;
import org.pollenrock.protocol.generated.SettingsPull;
import org.pollenrock.protocol.generated.SettingsRecord;
import org.pollenrock.protocol.generated.SettingsRecords;
import org.pollenrock.protocol.link.PeerEvent;
import org.pollenrock.protocol.link.PeerIdentity;
import org.pollenrock.protocol.link.PeerLinkSettings;
import org.pollenrock.protocol.link.PeerNetwork;
import org.pollenrock.protocol.link.PeerTls;
import org.pollenrock.router.decision.Decisions;
import org.pollenrock.router.decision.PeerLinks;

/** Links to the other routers: heartbeats, settings records and states of backend servers. */
public final class PeerTask implements PeerLinks {
  private static final Logger LOG = LogManager.getLogger(PeerTask.class);
  private static final Duration HEARTBEAT = Duration.ofMillis(500);

  /** Bytes of records in one frame; a record alone may be larger and still fits a frame. */
  private static final int FRAME_BYTES = 512 * 1024;

  private final PeerNetwork network;
  private final Decisions decisions;
  private final AtomicLong sequence = new AtomicLong();
  private final Set<InetSocketAddress> seeds;
  private volatile long applied = -1;
  private volatile boolean draining;

  /**
   * Creates the task.
   *
   * @param group event loops of the links
   * @param self identity sent to peers
   * @param listenAddress where to listen; port 0 for one that the system chooses
   * @param tls encryption of the links
   * @param seeds addresses of peers that are known before the first instance list
   * @param random source of jitter
   * @param decisions receives what peers tell
   */
  public PeerTask(
      EventLoopGroup group,
      PeerIdentity self,
      InetSocketAddress listenAddress,
      PeerTls tls,
      Set<InetSocketAddress> seeds,
      RandomGenerator random,
      Decisions decisions) {
    this.decisions = decisions;
    this.seeds = Set.copyOf(seeds);
    this.network =
        new PeerNetwork(
            group,
            self,
            listenAddress,
            PeerLinkSettings.of(HEARTBEAT),
            tls,
            random,
            this::heartbeat,
            this::event);
  }

  /** Listens and connects to the seeds. */
  public void start() {
    network.start();
    network.connectTo(seeds);
  }

  /** Closes all links. */
  public void stop() {
    network.stop();
  }

  /** Tells peers that this router is leaving. */
  public void drain() {
    draining = true;
    decisions.tell(state -> state.loans().returnAll());
  }

  /**
   * Where peers connect.
   *
   * @return the bound address
   */
  public InetSocketAddress boundAddress() {
    return network.address();
  }

  /**
   * Keeps links to the listed routers and the seeds.
   *
   * @param addresses addresses of the other routers
   */
  public void connectTo(Set<InetSocketAddress> addresses) {
    Set<InetSocketAddress> all = new HashSet<>(addresses);
    all.addAll(seeds);
    network.connectTo(all);
  }

  private Heartbeat heartbeat() {
    decisions.tell(state -> state.tellPeers());
    return Heartbeat.newBuilder()
        .setSequence(sequence.incrementAndGet())
        .setSettingsRevision(applied)
        .setDraining(draining)
        .build();
  }

  private void event(PeerEvent event) {
    switch (event) {
      case PeerEvent.LinkUp(PeerIdentity peer) -> LOG.info("link to {} up", peer.instance());
      case PeerEvent.LinkDown(PeerIdentity peer) -> LOG.info("link to {} down", peer.instance());
      case PeerEvent.Received(PeerIdentity peer, PeerFrame frame) -> received(peer, frame);
    }
  }

  private void received(PeerIdentity peer, PeerFrame frame) {
    String from = peer.instance();
    switch (frame.getMessageCase()) {
      case HEARTBEAT -> heartbeatFrom(peer, frame.getHeartbeat());
      case SERVER_STATES -> serverStates(frame.getServerStates());
      case SETTINGS_PULL -> {
        long wanted = frame.getSettingsPull().getFrom();
        decisions.tell(state -> state.settingsLog().pulled(from, wanted));
      }
      case SETTINGS_RECORDS -> {
        List<LogRecord> records = fromWire(frame.getSettingsRecords());
        decisions.tell(state -> state.settingsLog().receivedFromPeer(records));
      }
      case LOAN_REQUEST, LOAN_GRANT, LOAN_RETURN ->
          LoanWire.fromWire(frame)
              .ifPresent(
                  message ->
                      decisions.tell(
                          state -> state.loans().received(new InstanceId(from), message)));
      default -> {
        // Messages of a later release are skipped.
      }
    }
  }

  private void heartbeatFrom(PeerIdentity peer, Heartbeat heartbeat) {
    RouterHeartbeat converted =
        new RouterHeartbeat(
            new InstanceId(peer.instance()),
            new Incarnation(peer.incarnation()),
            new DataCentreId(peer.dataCentre()),
            heartbeat.getSequence(),
            heartbeat.getSettingsRevision());
    decisions.tell(state -> state.routerHeartbeat(converted));
  }

  private void serverStates(ServerStates states) {
    List<ServerEvidence.PeerDigest> digests = new ArrayList<>();
    for (ServerState one : states.getServersList()) {
      if (!one.getServer().isBlank()) {
        digests.add(
            new ServerEvidence.PeerDigest(
                new BackendServerId(one.getServer()),
                new Incarnation(one.getIncarnation()),
                one.getLeaving(),
                MAX_DIGEST_AGE_NANOS));
      }
    }
    decisions.tell(state -> state.peerDigests(digests));
  }

  private static List<LogRecord> fromWire(SettingsRecords records) {
    return records.getRecordsList().stream()
        .map(one -> new LogRecord(one.getOffset(), one.getTimeMs(), one.getData().toByteArray()))
        .toList();
  }

  @Override
  public void applied(long offset) {
    applied = offset;
  }

  @Override
  public void pull(String peer, long from) {
    network.send(
        peer,
        PeerFrame.newBuilder().setSettingsPull(SettingsPull.newBuilder().setFrom(from)).build());
  }

  @Override
  public void sendRecords(String peer, List<LogRecord> records) {
    frames(records).forEach(frame -> network.send(peer, frame));
  }

  @Override
  public void broadcastRecords(List<LogRecord> records) {
    frames(records).forEach(network::broadcast);
  }

  @Override
  public void broadcastDigests(List<ServerEvidence.PeerDigest> digests) {
    ServerStates.Builder states = ServerStates.newBuilder();
    for (ServerEvidence.PeerDigest digest : digests) {
      states.addServers(
          ServerState.newBuilder()
              .setServer(digest.server().value())
              .setIncarnation(digest.incarnation().value())
              .setLeaving(digest.leaving()));
    }
    network.broadcast(PeerFrame.newBuilder().setServerStates(states).build());
  }

  @Override
  public void sendLoan(InstanceId to, LoanMessage message) {
    network.send(to.value(), LoanWire.toWire(message));
  }

  private static List<PeerFrame> frames(List<LogRecord> records) {
    List<PeerFrame> frames = new ArrayList<>();
    SettingsRecords.Builder builder = SettingsRecords.newBuilder();
    long bytes = 0;
    for (LogRecord one : records) {
      if (bytes > 0 && bytes + one.data().length > FRAME_BYTES) {
        frames.add(PeerFrame.newBuilder().setSettingsRecords(builder).build());
        builder = SettingsRecords.newBuilder();
        bytes = 0;
      }
      builder.addRecords(
          SettingsRecord.newBuilder()
              .setOffset(one.offset())
              .setTimeMs(one.timeMillis())
              .setData(ByteString.copyFrom(one.data())));
      bytes += one.data().length;
    }
    if (bytes > 0) {
      frames.add(PeerFrame.newBuilder().setSettingsRecords(builder).build());
    }
    return frames;
  }
}
