package org.pollenrock.core.route;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * The customer that an API key belongs to, with the properties that apply to its requests.
 *
 * @param name name of the customer
 * @param priority priority of the customer's requests, which overrides the priority of the route
 * @param isolated whether the customer shares cached prompts with no other customer
 * @param quota what the customer may use; empty if that is not limited
 */
public record CustomerAccess(
    String name, OptionalInt priority, boolean isolated, Optional<CustomerQuota> quota) {
  /**
   * Returns the scope in which prompts of a request are cached.
   *
   * @param access the customer of the request, if it has one
   * @return a scope of the customer's own if it is isolated, otherwise the one that all share
   */
  public static String cacheScope(Optional<CustomerAccess> access) {
    return access
        .filter(CustomerAccess::isolated)
        .map(customer -> "customer-" + escape(customer.name()))
        .orElse("shared");
  }

  /**
   * Escapes a name, so that it can be sent as a header and no two names become one: each byte of
   * its UTF-8 but letters, digits and {@code -._} is written as % and two digits.
   */
  private static String escape(String name) {
    StringBuilder escaped = new StringBuilder();
    for (byte each : name.getBytes(StandardCharsets.UTF_8)) {
      boolean plain =
          each >= 'a' && each <= 'z'
              || each >= 'A' && each <= 'Z'
              || each >= '0' && each <= '9'
              || "-._".indexOf(each) >= 0;
      escaped.append(plain ? Character.toString(each) : "%" + HexFormat.of().toHexDigits(each));
    }
    return escaped.toString();
  }
}
