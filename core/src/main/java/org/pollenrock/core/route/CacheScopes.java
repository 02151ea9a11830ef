package org.pollenrock.core.route;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.pollenrock.core.digest.Sha256;

/**
 * Scopes in which prompts are cached, by customer. Prompts of one scope are read by all requests of
 * that scope, as long as a server or store keeps them.
 *
 * <p>The scope that customers share follows from who shares it. So it holds nothing of a customer
 * that has left it, and every instance finds the same scope from the configuration alone.
 */
public final class CacheScopes {
  /** Bytes of the digest in the name of the shared scope. */
  private static final int DIGEST_BYTES = 16;

  private final Set<String> sharingCustomers;
  private final String sharedScope;

  /**
   * Creates the scopes of a configuration.
   *
   * @param sharingCustomers names of the customers that share cached prompts
   */
  public CacheScopes(Set<String> sharingCustomers) {
    this.sharingCustomers = Set.copyOf(sharingCustomers);
    MessageDigest digest = Sha256.newDigest();
    new TreeSet<>(sharingCustomers).forEach(name -> Sha256.update(digest, name));
    sharedScope = "shared-" + HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
  }

  /**
   * Returns the scope of a request.
   *
   * @param customer name of its customer; empty if it has none
   * @return the scope that customers share, for one of them and for a request without customer;
   *     otherwise one of the customer's own
   */
  public String scopeOf(Optional<String> customer) {
    return customer
        .filter(name -> !sharingCustomers.contains(name))
        .map(name -> "customer-" + escape(name))
        .orElse(sharedScope);
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
