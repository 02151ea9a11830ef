package org.pollenrock.core.settings;

/**
 * What the tree says of a backend server.
 *
 * @param checksFencing whether it refuses an order with an old fencing number
 */
public record ServerSettings(boolean checksFencing) {
  /** A server of which the tree says nothing: it is not trusted to check. */
  public static final ServerSettings DEFAULT = new ServerSettings(false);
}
