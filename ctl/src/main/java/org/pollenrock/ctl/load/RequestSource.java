package org.pollenrock.ctl.load;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;

/**
 * Draws requests in a deployment's mix; the same seed gives the same requests.
 *
 * <p>Prompts share prefixes in levels: the text of the service, of the customer, and of the dossier
 * or account history. A few dossiers are hot, and the hot ones change from time to time.
 */
public final class RequestSource {
  /** Kind of the idempotent plain calls, as figures name it. */
  public static final String LOOKUP = "lookup";

  /** Kind of the non-idempotent plain calls, as figures name it. */
  public static final String POSTING = "posting";

  private static final int BLOCK_CHARACTERS = 4096;
  private static final int SERVICE_BLOCKS = 1;
  private static final int CUSTOMER_BLOCKS = 1;
  private static final int DOSSIERS = 40;
  private static final int HOT_DOSSIERS = 3;
  private static final int REQUESTS_PER_HOT_SET = 500;
  private static final double HOT_SHARE = 0.7;
  private static final double LONG_SHARE = 0.40;
  private static final double SHORT_SHARE = 0.45;
  private static final double LOOKUP_SHARE = 0.12;
  private static final int ACCOUNTS = 1_000;
  private static final int LONG_TOKENS = 128;
  private static final int QUESTIONS = 100_000;

  private final Deployment deployment;
  private final int dossierBlocks;
  private final Random random;
  private final int totalShare;
  private int drawn;
  private int hotBase;

  /**
   * Creates a source.
   *
   * @param deployment whose mix to draw
   * @param dossierBlocks length of a dossier in blocks of 4 KiB
   * @param seed seed of all choices
   */
  public RequestSource(Deployment deployment, int dossierBlocks, long seed) {
    this.deployment = Objects.requireNonNull(deployment, "deployment");
    this.dossierBlocks = dossierBlocks;
    this.random = new Random(seed);
    this.totalShare = deployment.customers().stream().mapToInt(Deployment.Customer::share).sum();
  }

  /**
   * Draws the time to the next arrival; arrivals are independent of each other.
   *
   * @param perSecond mean rate of arrivals
   * @return nanoseconds
   */
  public long nextGapNanos(double perSecond) {
    return (long) (-Math.log(1 - random.nextDouble()) / perSecond * 1e9);
  }

  /**
   * Draws a request.
   *
   * @param nowMillis wall-clock time for its idempotency key, in milliseconds since 1970
   * @return the request
   */
  public LoadRequest next(long nowMillis) {
    if (drawn++ % REQUESTS_PER_HOT_SET == 0) {
      hotBase = random.nextInt(DOSSIERS);
    }
    Deployment.Customer customer = customer();
    double roll = random.nextDouble();
    if (roll < LONG_SHARE) {
      return modelRequest(customer, deployment.longKind(), LONG_TOKENS);
    }
    if (roll < LONG_SHARE + SHORT_SHARE) {
      return modelRequest(customer, deployment.shortKind(), deployment.shortTokens());
    }
    return roll < LONG_SHARE + SHORT_SHARE + LOOKUP_SHARE
        ? lookup(customer)
        : posting(customer, nowMillis);
  }

  private Deployment.Customer customer() {
    int at = random.nextInt(totalShare);
    for (Deployment.Customer customer : deployment.customers()) {
      at -= customer.share();
      if (at < 0) {
        return customer;
      }
    }
    throw new IllegalStateException("shares sum to their total");
  }

  private LoadRequest modelRequest(Deployment.Customer customer, String kind, int maxTokens) {
    int dossier =
        random.nextDouble() < HOT_SHARE
            ? (hotBase + random.nextInt(HOT_DOSSIERS)) % DOSSIERS
            : random.nextInt(DOSSIERS);
    String prompt =
        text(deployment.name(), SERVICE_BLOCKS)
            + text(customer.name(), CUSTOMER_BLOCKS)
            + text(customer.name() + " dossier " + dossier, dossierBlocks);
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("model", deployment.model())
            .put("stream", true)
            .put("max_tokens", maxTokens);
    body.putArray("messages").addObject().put("role", "system").put("content", prompt);
    body.withArray("messages")
        .addObject()
        .put("role", "user")
        .put("content", "Question " + random.nextInt(QUESTIONS));
    return new LoadRequest(
        kind,
        "POST",
        "/v1/chat/completions",
        customer.apiKey(),
        Optional.empty(),
        body.toString(),
        true);
  }

  /** Text of whole blocks that depends on its name alone. */
  private static String text(String name, int blocks) {
    String sentence = name + " entry. ";
    int length = blocks * BLOCK_CHARACTERS;
    return sentence.repeat(length / sentence.length() + 1).substring(0, length);
  }

  private LoadRequest lookup(Deployment.Customer customer) {
    String path = deployment.lookupPath(random.nextInt(ACCOUNTS));
    return new LoadRequest(LOOKUP, "GET", path, customer.apiKey(), Optional.empty(), "", false);
  }

  private LoadRequest posting(Deployment.Customer customer, long nowMillis) {
    String body =
        JsonNodeFactory.instance
            .objectNode()
            .put("account", random.nextInt(ACCOUNTS))
            .put("amount", 1 + random.nextInt(100))
            .toString();
    return new LoadRequest(
        POSTING,
        "POST",
        deployment.postingPath(),
        customer.apiKey(),
        Optional.of(timeOrderedKey(nowMillis)),
        body,
        false);
  }

  /** A UUID of version 7. */
  private String timeOrderedKey(long nowMillis) {
    long high = nowMillis << 16 | 0x7000 | random.nextInt(0x1000);
    long low = random.nextLong() & 0x3fff_ffff_ffff_ffffL | 0x8000_0000_0000_0000L;
    return new UUID(high, low).toString();
  }
}
