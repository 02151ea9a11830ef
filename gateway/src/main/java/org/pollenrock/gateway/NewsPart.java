package org.pollenrock.gateway;

import org.pollenrock.core.model.InstanceId;
import org.pollenrock.protocol.generated.FleetNews;

/** One kind of news that instances exchange with full gossip. */
interface NewsPart {
  /**
   * Adds what is due to a message that is about to be sent to the instances with full gossip.
   *
   * @param message the message
   * @param nowNanos current time
   */
  void addNews(FleetNews.Builder message, long nowNanos);

  /**
   * Applies the news of a message; called for each message, with or without news of this kind.
   *
   * @param message the message
   * @param sender instance that sent it
   * @param nowNanos current time
   */
  void apply(FleetNews message, InstanceId sender, long nowNanos);
}
