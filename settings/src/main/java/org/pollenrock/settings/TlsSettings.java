package org.pollenrock.settings;

import java.util.Objects;
import java.util.Optional;

/**
 * Certificates, and which listeners use them.
 *
 * @param certificate PEM file with the certificate chain
 * @param key PEM file with the private key
 * @param peerAuthorities PEM file with the authorities that sign the certificates of peers; empty
 *     for the system's own
 * @param reloadIntervalNanos time between two checks of the files for changes, in nanoseconds
 * @param callers whether callers connect over TLS
 * @param operators whether operators connect over TLS
 * @param peers whether routers connect to each other over TLS
 */
public record TlsSettings(
    String certificate,
    String key,
    Optional<String> peerAuthorities,
    long reloadIntervalNanos,
    boolean callers,
    boolean operators,
    boolean peers) {
  /** Checks that all parts are present. */
  public TlsSettings {
    Objects.requireNonNull(certificate, "certificate");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(peerAuthorities, "peerAuthorities");
  }
}
