package org.pollenrock.core.error;

import java.util.Objects;

/**
 * Remote end of the connection on which an error occurred.
 *
 * @param kind kind of the remote end
 * @param name name of the remote end, as spelled in the settings or the instance list
 */
public record Peer(Kind kind, String name) {
  /** Kinds of remote ends. */
  public enum Kind {
    /** A caller of the router. */
    CALLER,
    /** A backend server that serves models. */
    ENGINE,
    /** A backend server of a plain service. */
    PLAIN_SERVICE,
    /** The shared log. */
    LOG,
    /** The instance list. */
    INSTANCE_LIST,
    /** The store of model weights. */
    WEIGHT_STORE,
    /** The KV store of prefix blocks. */
    KV_STORE,
    /** Another router instance. */
    ROUTER
  }

  /** Checks that no component is null. */
  public Peer {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(name, "name");
  }
}
