package org.pollenrock.core.error;

import java.util.Objects;

/**
 * The other end of a link at which an error arose.
 *
 * @param kind what the other end is
 * @param name its name, as settings or the instance list spell it
 */
public record Peer(Kind kind, String name) {
  /** Kinds of link ends. */
  public enum Kind {
    CALLER,
    ENGINE,
    PLAIN_SERVICE,
    LOG,
    INSTANCE_LIST,
    WEIGHT_STORE,
    KV_STORE,
    ROUTER
  }

  /** Checks that both parts are present. */
  public Peer {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(name, "name");
  }
}
