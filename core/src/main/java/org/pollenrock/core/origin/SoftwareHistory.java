package org.pollenrock.core.origin;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Software versions of the servers of each service, and since when no others are listed.
 *
 * <p>A service is settled while one version alone has been listed for longer than any stream lasts,
 * or since the service was listed first. Then every stream that can still go on has begun at that
 * version.
 */
public final class SoftwareHistory {
  /** Minimum time for which a version must have been the only one, whatever streams last. */
  private static final long MIN_SETTLED_NANOS = 30_000_000_000L;

  /** Time for which a version must have been the only one, in relation to the longest stream. */
  private static final int STREAM_LIVES = 2;

  /**
   * Versions that are listed together.
   *
   * @param versions the versions; not empty
   * @param sinceNanos time since which just these are listed
   * @param first whether the service has had no other versions before
   */
  public record Listing(Set<String> versions, long sinceNanos, boolean first) {
    /** Copies the versions. */
    public Listing {
      versions = Set.copyOf(versions);
    }
  }

  private final Map<String, Listing> listings = new HashMap<>();

  /** Creates a history without services. */
  public SoftwareHistory() {}

  /**
   * Applies the versions of the listed servers of a service. A service without servers keeps its
   * versions, since entries lapse while the list can't be written.
   *
   * @param service name of the service
   * @param versions the versions
   * @param nowNanos current time
   * @return whether other versions than before are listed
   */
  public boolean applyListed(String service, Set<String> versions, long nowNanos) {
    Listing known = listings.get(service);
    if (versions.isEmpty() || known != null && known.versions().equals(versions)) {
      return false;
    }
    listings.put(service, new Listing(versions, nowNanos, false));
    return true;
  }

  /**
   * Applies the version of one server that is listed, whether or not it is still listed once all
   * entries that were read together are applied.
   *
   * @param service service of the server
   * @param version its version
   * @param nowNanos current time
   * @return whether the service had servers of other versions only
   */
  public boolean applyVersion(String service, String version, long nowNanos) {
    Listing known = listings.get(service);
    if (known == null || known.versions().contains(version)) {
      return false;
    }
    Set<String> versions = new HashSet<>(known.versions());
    versions.add(version);
    listings.put(service, new Listing(versions, nowNanos, false));
    return true;
  }

  /**
   * Records that other versions may have been listed in the meantime, since the list could not be
   * followed without a gap. What the store has kept may tell more.
   *
   * @param nowNanos current time
   */
  public void recordGap(long nowNanos) {
    listings.replaceAll((service, listing) -> new Listing(listing.versions(), nowNanos, false));
  }

  /**
   * Applies what the store has kept. Its time goes before the own one, since this instance may have
   * started later, or may have missed other versions in between.
   *
   * @param service name of the service
   * @param stored the stored versions and since when they are listed
   * @return whether the stored versions are those that are listed
   */
  public boolean applyStored(String service, Listing stored) {
    Listing known = listings.get(service);
    if (known == null || !known.versions().equals(stored.versions())) {
      return false;
    }
    listings.put(service, stored);
    return true;
  }

  /**
   * Returns the versions of a service that are listed.
   *
   * @param service name of the service
   * @return the versions and since when they are listed; empty if the service has had no server
   */
  public Optional<Listing> listing(String service) {
    return Optional.ofNullable(listings.get(service));
  }

  /**
   * Returns the services that have had servers, with their versions.
   *
   * @return the versions by the names of the services
   */
  public Map<String, Listing> listings() {
    return Map.copyOf(listings);
  }

  /**
   * Records that no instance has seen a service with other versions than now.
   *
   * @param service name of the service
   */
  public void recordFirst(String service) {
    listings.computeIfPresent(
        service, (name, listing) -> new Listing(listing.versions(), listing.sinceNanos(), true));
  }

  /**
   * Returns the version at which all streams of a service have begun that can still go on.
   *
   * @param service name of the service
   * @param streamNanos longest time that a stream of the service lasts
   * @param nowNanos current time
   * @return the version; empty unless the service is settled
   */
  public Optional<String> settledVersion(String service, long streamNanos, long nowNanos) {
    return listing(service)
        .filter(listing -> listing.versions().size() == 1)
        .filter(listing -> listing.first() || isOld(listing, streamNanos, nowNanos))
        .map(listing -> listing.versions().iterator().next());
  }

  /**
   * Returns whether the origins of streams have to be stored: while several versions are listed, or
   * were until recently, and at first, when others may follow.
   *
   * @param service name of the service
   * @param streamNanos longest time that a stream of the service lasts
   * @param nowNanos current time
   * @return whether an instance that starts could not tell the origins otherwise
   */
  public boolean needsOrigins(String service, long streamNanos, long nowNanos) {
    return listing(service)
        .filter(listing -> listing.versions().size() == 1)
        .filter(listing -> isOld(listing, streamNanos, nowNanos))
        .isEmpty();
  }

  private static boolean isOld(Listing listing, long streamNanos, long nowNanos) {
    long settledNanos = Math.max(MIN_SETTLED_NANOS, STREAM_LIVES * streamNanos);
    return nowNanos - listing.sinceNanos() >= settledNanos;
  }
}
