package org.pollenrock.gateway;

import java.net.InetAddress;
import org.pollenrock.core.dispatch.PrefixDirectory;
import org.pollenrock.core.dispatch.PrefixStoreView;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.Fleet;
import org.pollenrock.protocol.generated.FleetNews;
import org.pollenrock.protocol.generated.PrefixRead;
import org.pollenrock.protocol.generated.ServerOutcomes;
import org.pollenrock.protocol.generated.ServerWork;

/** Applies what other instances tell about servers to the state of this instance. */
final class FleetNewsApplier {
  private final String dataCentre;
  private final Fleet fleet;
  private final PrefixDirectory directory;
  private final PrefixStoreView prefixStore;
  private final RateLimitTask rateLimits;

  FleetNewsApplier(
      String dataCentre,
      Fleet fleet,
      PrefixDirectory directory,
      PrefixStoreView prefixStore,
      RateLimitTask rateLimits) {
    this.dataCentre = dataCentre;
    this.fleet = fleet;
    this.directory = directory;
    this.prefixStore = prefixStore;
    this.rateLimits = rateLimits;
  }

  /** Applies a message. */
  void apply(FleetNews message, InetAddress sender, long now) {
    for (ServerWork work : message.getWorkList()) {
      fleet
          .findByIdHash(work.getServer())
          .ifPresent(
              backend ->
                  backend.applyPeerWork(
                      sender.hashCode(), work.getRequests(), work.getUnreadTokens(), now));
    }
    if (message.getDataCentre().equals(dataCentre)) {
      applyFromSameDataCentre(message, now);
    }
    applyCacheNews(message, now);
    rateLimits.apply(message, now);
  }

  private void applyCacheNews(FleetNews message, long now) {
    for (PrefixRead read : message.getReadsList()) {
      fleet
          .findByIdHash(read.getServer())
          .ifPresent(backend -> directory.recordPeerRead(read.getPrefix(), backend, now));
    }
    for (PrefixRead evicted : message.getEvictedList()) {
      fleet
          .findByIdHash(evicted.getServer())
          .ifPresent(backend -> directory.recordEviction(evicted.getPrefix(), backend));
    }
    for (long server : message.getFollowedList()) {
      fleet.findByIdHash(server).ifPresent(backend -> directory.recordFollowed(backend, now));
    }
    message.getStoredList().forEach(prefixStore::markStored);
  }

  /**
   * Applies reports of reachability and failures. These are valid only for instances on the same
   * network as the sender.
   */
  private void applyFromSameDataCentre(FleetNews message, long now) {
    for (long server : message.getMissingList()) {
      fleet.findByIdHash(server).ifPresent(backend -> backend.applyPeerMissing(now));
    }
    for (long server : message.getProbingList()) {
      fleet.findByIdHash(server).ifPresent(backend -> backend.probes().applyPeerProbe(now));
    }
    for (long server : message.getReturnedList()) {
      fleet.findByIdHash(server).ifPresent(Backend::markReachable);
    }
    for (ServerOutcomes outcomes : message.getOutcomesList()) {
      fleet
          .findByIdHash(outcomes.getServer())
          .ifPresent(
              backend ->
                  backend.applyPeerOutcomes(outcomes.getSuccesses(), outcomes.getFailures(), now));
    }
  }
}
