package org.pollenrock.bench.workload;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;

/**
 * Makes the trace of a deployment: Poisson arrivals, prefixes nested in service, customer and
 * dossier, a few very hot dossiers, and a hot set that can shift.
 */
public final class Workload {
  private static final int BLOCK_BYTES = 4_096;
  private static final int QUESTION_BYTES = 600;
  private static final double ZIPF_EXPONENT = 1.1;
  private static final double LARGE_CUSTOMER_SHARE = 0.6;
  private static final int LARGE_CUSTOMERS = 2;

  private final Deployment deployment;
  private final Random random;
  private final List<String> systemTexts = new ArrayList<>();
  private final List<Dossier> dossiers = new ArrayList<>();
  private final double[] popularity;

  private record Dossier(int customer, String text) {}

  /** What varies between traces of one workload. */
  private record TraceContext(long startMs, int shift) {}

  /**
   * Prepares the texts.
   *
   * @param deployment the deployment
   * @param seed seed of everything drawn
   */
  public Workload(Deployment deployment, long seed) {
    this.deployment = deployment;
    this.random = new Random(seed);
    String serviceText = text(BLOCK_BYTES);
    for (int i = 0; i < deployment.customers(); i++) {
      systemTexts.add(serviceText + text(BLOCK_BYTES));
    }
    Deployment.Range blocks = deployment.dossierBlocks();
    for (int i = 0; i < deployment.dossiers(); i++) {
      int size = blocks.least() + random.nextInt(blocks.most() - blocks.least() + 1);
      dossiers.add(new Dossier(drawCustomer(), text(size * BLOCK_BYTES)));
    }
    this.popularity = zipf(deployment.dossiers());
  }

  /**
   * Makes a trace.
   *
   * @param seconds its length
   * @param shiftAtSeconds when the hot set shifts; beyond the end for never
   * @param startMs wall-clock time of the start, for time-ordered keys
   * @return requests in order of time
   */
  public List<TimedRequest> trace(double seconds, double shiftAtSeconds, long startMs) {
    List<TimedRequest> trace = new ArrayList<>();
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / deployment.requestsPerSecond();
      if (at >= seconds) {
        return trace;
      }
      int shift = at >= shiftAtSeconds ? deployment.dossiers() / 2 : 0;
      trace.add(request(trace.size(), (long) (at * 1e9), new TraceContext(startMs, shift)));
    }
  }

  private TimedRequest request(int number, long atNanos, TraceContext context) {
    TrafficKind kind = drawKind();
    int entry = random.nextInt(deployment.routers());
    return switch (kind.shape()) {
      case LONG_MODEL -> {
        int rank = draw(popularity);
        Dossier dossier = dossiers.get((rank + context.shift) % dossiers.size());
        Prompt prompt =
            new Prompt(systemTexts.get(dossier.customer), dossier.text, text(QUESTION_BYTES));
        yield new TimedRequest(number, atNanos, kind, dossier.customer, entry, prompt, "");
      }
      case SHORT_MODEL -> {
        int customer = drawCustomer();
        Prompt prompt = new Prompt("", systemTexts.get(customer), text(QUESTION_BYTES));
        yield new TimedRequest(number, atNanos, kind, customer, entry, prompt, "");
      }
      case IDEMPOTENT_CALL -> {
        Prompt prompt = new Prompt("", "", "account-" + number);
        yield new TimedRequest(number, atNanos, kind, drawCustomer(), entry, prompt, "");
      }
      case NON_IDEMPOTENT_CALL -> {
        Prompt prompt = new Prompt("", "", "{\"call\":" + number + "}");
        String key = key(context.startMs + atNanos / 1_000_000);
        yield new TimedRequest(number, atNanos, kind, drawCustomer(), entry, prompt, key);
      }
    };
  }

  /** A UUIDv7 with random bits from the seed. */
  private String key(long timeMs) {
    long high = timeMs << 16 | 0x7000L | random.nextInt(1 << 12);
    long low = random.nextLong() >>> 2 | 0x8000_0000_0000_0000L;
    return new UUID(high, low).toString();
  }

  private TrafficKind drawKind() {
    double left = random.nextDouble();
    for (Deployment.KindShare share : deployment.mix()) {
      left -= share.share();
      if (left < 0) {
        return share.kind();
      }
    }
    return deployment.mix().getLast().kind();
  }

  private int drawCustomer() {
    if (random.nextDouble() < LARGE_CUSTOMER_SHARE) {
      return random.nextInt(LARGE_CUSTOMERS);
    }
    return LARGE_CUSTOMERS + random.nextInt(deployment.customers() - LARGE_CUSTOMERS);
  }

  private int draw(double[] cumulative) {
    double point = random.nextDouble();
    int index = 0;
    while (index < cumulative.length - 1 && cumulative[index] < point) {
      index++;
    }
    return index;
  }

  private static double[] zipf(int count) {
    double[] cumulative = new double[count];
    double sum = 0;
    for (int i = 0; i < count; i++) {
      sum += 1 / Math.pow(i + 1, ZIPF_EXPONENT);
      cumulative[i] = sum;
    }
    for (int i = 0; i < count; i++) {
      cumulative[i] /= sum;
    }
    return cumulative;
  }

  private String text(int bytes) {
    StringBuilder text = new StringBuilder(bytes);
    while (text.length() < bytes) {
      text.append((char) ('a' + random.nextInt(26)));
    }
    return text.toString();
  }
}
