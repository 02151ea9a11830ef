package org.pollenrock.bench.cluster;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.core.placement.PlacementStrategy;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.core.settings.TreeDiff;
import org.pollenrock.standin.list.ListedInstance;

/** Stand-ins and routers of a deployment. */
public final class TestBed {
  private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final long POLL_MS = 5;
  private static final int ROUTER_IO_THREADS = 2;
  private static final String DEADLINE = "root/deadline";

  private final Deployment deployment;
  private final StandinCluster cluster;
  private final Supplier<PlacementStrategy> strategies;
  private final long seed;
  private final TreePublisher publisher;
  private final List<RouterNode> routers = new CopyOnWriteArrayList<>();
  private final Queue<CompletableFuture<Integer>> draining = new ConcurrentLinkedQueue<>();
  private long incarnations;

  /**
   * Makes a test bed; nothing runs before it is started.
   *
   * @param deployment the deployment
   * @param cluster the outside systems
   * @param strategies makes the placement strategy of each router
   * @param seed seed of the routers' random choices
   */
  public TestBed(
      Deployment deployment,
      StandinCluster cluster,
      Supplier<PlacementStrategy> strategies,
      long seed) {
    this.deployment = deployment;
    this.cluster = cluster;
    this.strategies = strategies;
    this.seed = seed;
    this.publisher = new TreePublisher(cluster.log());
  }

  /**
   * Starts stand-ins and routers and waits until every router can serve.
   *
   * @throws InterruptedException when the thread is interrupted
   */
  public void start() throws InterruptedException {
    cluster.start();
    publisher.publish(TreeDiff.edits(SettingsTree.EMPTY, DeploymentTree.of(deployment)));
    for (int i = 0; i < deployment.routers(); i++) {
      RouterNode node = router(i);
      node.start();
      routers.add(node);
    }
    listRouters();
    await(() -> routers.stream().allMatch(RouterNode::ready));
  }

  private void listRouters() {
    cluster.showRouters(
        routers.stream()
            .map(
                node ->
                    new ListedInstance(
                        node.name(), "router", "", node.peerAddress(), node.dataCentre(), "live"))
            .toList());
  }

  /** Stops routers and stand-ins. */
  public void stop() {
    draining.forEach(CompletableFuture::join);
    routers.forEach(RouterNode::stop);
    cluster.stop();
  }

  /**
   * The deployment.
   *
   * @return what the test bed was made for
   */
  public Deployment deployment() {
    return deployment;
  }

  /**
   * The outside systems.
   *
   * @return the stand-ins
   */
  public StandinCluster cluster() {
    return cluster;
  }

  /**
   * The routers.
   *
   * @return those that run now
   */
  public List<RouterNode> routers() {
    return new ArrayList<>(routers);
  }

  /**
   * Where the load balancer finds a router: it follows readiness.
   *
   * @param index index of the preferred router
   * @return IP number and port
   */
  public String entryAddress(int index) {
    for (int step = 0; step < routers.size(); step++) {
      RouterNode node = routers.get((index + step) % routers.size());
      if (node.ready()) {
        return node.address();
      }
    }
    return routers.get(index).address();
  }

  /**
   * Stops a router as planned after another one has taken its place.
   *
   * @param index index of the router
   */
  public void restartRouter(int index) {
    RouterNode next = router(index);
    next.start();
    draining.add(routers.set(index, next).drain());
    listRouters();
  }

  /**
   * Publishes another weights version of the model.
   *
   * @param version the version
   */
  public void publishWeights(String version) {
    publisher.put("models/" + Deployment.MODEL + "/version", version);
  }

  /**
   * Publishes another deadline of all requests.
   *
   * @param deadline the deadline, in whole seconds
   * @return log offset of the change
   */
  public long publishDeadline(Duration deadline) {
    return publisher.put(DEADLINE, deadline.toSeconds() + "s");
  }

  /** Publishes two changes of one value that were made against the same revision. */
  public void publishConflictingChanges() {
    publisher.race(DEADLINE, "61s", "62s");
  }

  /**
   * Restarts every router of a data centre at the same time.
   *
   * @param dataCentreIndex index of the data centre
   */
  public void restartDataCentre(int dataCentreIndex) {
    for (int i = dataCentreIndex; i < routers.size(); i += deployment.dataCentres().size()) {
      restartRouter(i);
    }
  }

  private RouterNode router(int index) {
    incarnations++;
    String dataCentre = deployment.dataCentres().get(index % deployment.dataCentres().size());
    RouterPlace place =
        new RouterPlace(
            "router-" + (index + 1),
            incarnations,
            dataCentre,
            cluster.logAddress(dataCentre),
            cluster.listAddress(dataCentre),
            ROUTER_IO_THREADS);
    return new RouterNode(place, strategies.get(), seed * 1_000 + incarnations);
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + READY_TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new IllegalStateException("the routers were not ready in time");
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
  }
}
