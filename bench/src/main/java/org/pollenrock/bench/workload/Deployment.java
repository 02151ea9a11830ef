package org.pollenrock.bench.workload;

import java.time.Duration;
import java.util.List;

/**
 * Sizes and traffic mix of one deployment.
 *
 * @param name name on the command line
 * @param dataCentres data centres
 * @param interCentreDelay one-way delay between data centres
 * @param clientDelay one-way delay to clients
 * @param modelServers number of model servers
 * @param plainServers number of plain servers
 * @param plainService name of the plain service
 * @param routers number of router instances
 * @param customers number of customers
 * @param cacheBlocks blocks that a model server caches
 * @param weightLoad time to load weights
 * @param unslowedLoads loads at once that do not slow each other
 * @param requestsPerSecond offered load
 * @param dossiers dossiers of all customers together
 * @param dossierBlocks least and most blocks of a dossier
 * @param mix shares of the kinds of request
 */
public record Deployment(
    String name,
    List<String> dataCentres,
    Duration interCentreDelay,
    Duration clientDelay,
    int modelServers,
    int plainServers,
    String plainService,
    int routers,
    int customers,
    int cacheBlocks,
    Duration weightLoad,
    int unslowedLoads,
    double requestsPerSecond,
    int dossiers,
    Range dossierBlocks,
    List<KindShare> mix) {

  /** Model that every model server serves at the start. */
  public static final String MODEL = "assistant";

  /** Weights version that every model server serves at the start. */
  public static final String VERSION = "v1";

  /**
   * An inclusive range.
   *
   * @param least lower end
   * @param most upper end
   */
  public record Range(int least, int most) {}

  /**
   * Share of a kind in the traffic.
   *
   * @param kind the kind
   * @param share fraction of the requests
   */
  public record KindShare(TrafficKind kind, double share) {}

  /**
   * Finds a deployment.
   *
   * @param name its name
   * @return the deployment
   * @throws IllegalArgumentException when there is none of that name
   */
  public static Deployment named(String name) {
    return switch (name) {
      case "chama" -> chama();
      case "directorate" -> directorate();
      case "demo" -> demo();
      default -> throw new IllegalArgumentException("no deployment is named " + name);
    };
  }

  private static Deployment demo() {
    return new Deployment(
        "demo",
        List.of("local"),
        Duration.ZERO,
        Duration.ZERO,
        3,
        2,
        "ledger",
        1,
        2,
        200,
        Duration.ofMillis(200),
        2,
        1,
        1,
        new Range(1, 1),
        List.of(new KindShare(TrafficKind.DISPUTE_SUMMARY, 1)));
  }

  private static Deployment chama() {
    return new Deployment(
        "chama",
        List.of("kurasini", "ubungo", "mbezi"),
        Duration.ofMillis(1),
        Duration.ofMillis(3),
        8,
        3,
        "ledger",
        5,
        8,
        160,
        Duration.ofMillis(200),
        2,
        70,
        120,
        new Range(7, 13),
        List.of(
            new KindShare(TrafficKind.DISPUTE_SUMMARY, 0.35),
            new KindShare(TrafficKind.CONDITION_CHECK, 0.35),
            new KindShare(TrafficKind.BALANCE, 0.2),
            new KindShare(TrafficKind.REFUND, 0.1)));
  }

  private static Deployment directorate() {
    return new Deployment(
        "directorate",
        List.of("nigde-a", "ulukisla-b", "camardi-c", "pozanti-d"),
        Duration.ofNanos(1_500_000),
        Duration.ofMillis(1),
        13,
        4,
        "booking",
        5,
        8,
        160,
        Duration.ofMillis(300),
        3,
        100,
        180,
        new Range(9, 15),
        List.of(
            new KindShare(TrafficKind.ROUTE_BRIEFING, 0.45),
            new KindShare(TrafficKind.MESSAGE_SORTING, 0.4),
            new KindShare(TrafficKind.AVAILABILITY, 0.05),
            new KindShare(TrafficKind.BOOKING, 0.1)));
  }
}
