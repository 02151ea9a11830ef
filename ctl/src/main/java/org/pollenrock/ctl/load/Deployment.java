package org.pollenrock.ctl.load;

import java.util.List;

/** The deployments whose request mix can be produced, with the names of {@code examples/}. */
public enum Deployment {
  /** Dispute summaries, condition checks, balance lookups and refund postings. */
  CHAMA(
      "pwani-70b",
      "dispute-summary",
      "condition-check",
      32,
      "/ledger/accounts/%d/balance",
      "/ledger/refunds",
      List.of(
          new Customer("bahari-fishers", "example-bahari-fishers-app", 4),
          new Customer("mwenge-traders", "example-mwenge-traders-app", 4),
          new Customer("tembo-transport", "example-tembo-transport-dispatch", 2),
          new Customer("jua-kali-makers", "example-jua-kali-makers-office", 1),
          new Customer("kilimo-growers", "example-kilimo-growers-office", 1),
          new Customer("ndege-youth", "example-ndege-youth-app", 1),
          new Customer("pwani-teachers", "example-pwani-teachers-office", 1),
          new Customer("umoja-women", "example-umoja-women-office", 1))),
  /** Route briefings, category sorting, availability lookups and bookings. */
  DIRECTORATE(
      "toros-70b",
      "route-briefing",
      "category-sort",
      16,
      "/booking/routes/%d/availability",
      "/booking/bookings",
      List.of(
          new Customer("nigde-buses", "example-nigde-buses-app", 4),
          new Customer("pozanti-rail", "example-pozanti-rail-app", 4),
          new Customer("toros-rescue", "example-toros-rescue-control-room", 3),
          new Customer("aladag-lodges", "example-aladag-lodges-desk", 1),
          new Customer("bolkar-guides", "example-bolkar-guides-app", 1),
          new Customer("camardi-villages", "example-camardi-villages-desk", 1),
          new Customer("maden-museum", "example-maden-museum-desk", 1),
          new Customer("ulukisla-freight", "example-ulukisla-freight-desk", 1)));

  /**
   * A customer of the example settings.
   *
   * @param name its name
   * @param apiKey its example API key
   * @param share its share of the requests, relative to others
   */
  public record Customer(String name, String apiKey, int share) {}

  private final String model;
  private final String longKind;
  private final String shortKind;
  private final int shortTokens;
  private final String lookupPath;
  private final String postingPath;
  private final List<Customer> customers;

  Deployment(
      String model,
      String longKind,
      String shortKind,
      int shortTokens,
      String lookupPath,
      String postingPath,
      List<Customer> customers) {
    this.model = model;
    this.longKind = longKind;
    this.shortKind = shortKind;
    this.shortTokens = shortTokens;
    this.lookupPath = lookupPath;
    this.postingPath = postingPath;
    this.customers = customers;
  }

  /**
   * Model that the requests ask for.
   *
   * @return its name
   */
  public String model() {
    return model;
  }

  /**
   * Kind of the long streamed requests.
   *
   * @return its name
   */
  public String longKind() {
    return longKind;
  }

  /**
   * Kind of the short requests that someone waits for.
   *
   * @return its name
   */
  public String shortKind() {
    return shortKind;
  }

  /**
   * Greatest number of tokens of a short answer.
   *
   * @return the value of {@code max_tokens}
   */
  public int shortTokens() {
    return shortTokens;
  }

  /**
   * Path of an idempotent plain call.
   *
   * @param account number in the path
   * @return the path
   */
  public String lookupPath(int account) {
    return lookupPath.formatted(account);
  }

  /**
   * Path of a non-idempotent plain call.
   *
   * @return the path
   */
  public String postingPath() {
    return postingPath;
  }

  /**
   * Customers of the example settings.
   *
   * @return the customers
   */
  public List<Customer> customers() {
    return customers;
  }
}
