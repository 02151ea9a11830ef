package org.pollenrock.bench.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.core.placement.PlacementStrategy;

/** Stand-ins and routers of a deployment. */
public final class TestBed {
  private static final long READY_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final long POLL_MS = 5;

  private final Deployment deployment;
  private final StandinCluster cluster;
  private final Supplier<PlacementStrategy> strategies;
  private final long seed;
  private final List<RouterNode> routers = new CopyOnWriteArrayList<>();
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
  }

  /**
   * Starts stand-ins and routers and waits until every router can serve.
   *
   * @throws InterruptedException when the thread is interrupted
   */
  public void start() throws InterruptedException {
    cluster.start();
    for (int i = 0; i < deployment.routers(); i++) {
      RouterNode node = router(i);
      node.start();
      routers.add(node);
    }
    await(() -> routers.stream().allMatch(RouterNode::ready));
  }

  /** Stops routers and stand-ins. */
  public void stop() {
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
   * Where the load balancer finds a router.
   *
   * @param index index of the router
   * @return IP number and port
   */
  public String entryAddress(int index) {
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
    routers.set(index, next).stop();
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
    return new RouterNode(
        "router-" + (index + 1),
        incarnations,
        dataCentre,
        cluster,
        strategies.get(),
        seed * 1_000 + incarnations,
        DeploymentTree.of(deployment));
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + READY_TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new IllegalStateException("the routers were not ready in time");
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
    }
  }
}
