package org.pollenrock.router.tls;

import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.util.concurrent.EventExecutor;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * TLS context from a certificate and a key file, which are read again at an interval.
 *
 * <p>New files take effect for new connections. Files that cannot be used, for example because only
 * one of them was replaced yet, leave the previous context in force.
 */
public final class ReloadingTlsContext {
  private static final Logger LOG = LogManager.getLogger(ReloadingTlsContext.class);

  private final Path certificate;
  private final Path key;
  private final long intervalNanos;
  private final EventExecutor executor;
  private byte[] certificateBytes;
  private byte[] keyBytes;
  private volatile SslContext context;
  private volatile boolean stopped;

  /**
   * Reads the files.
   *
   * @param certificate chain of certificates in PEM form
   * @param key private key in PKCS 8 PEM form
   * @param intervalNanos time between two reads, in nanoseconds
   * @param executor thread that reads them again
   * @throws IOException when a file cannot be read or used
   */
  public ReloadingTlsContext(Path certificate, Path key, long intervalNanos, EventExecutor executor)
      throws IOException {
    this.certificate = certificate;
    this.key = key;
    this.intervalNanos = intervalNanos;
    this.executor = executor;
    this.certificateBytes = Files.readAllBytes(certificate);
    this.keyBytes = Files.readAllBytes(key);
    this.context = build(certificateBytes, keyBytes);
  }

  /** Starts to read the files again at the interval. */
  public void start() {
    executor.schedule(this::reload, intervalNanos, TimeUnit.NANOSECONDS);
  }

  /** Reads the files no more. */
  public void stop() {
    stopped = true;
  }

  /**
   * The context for new connections.
   *
   * @return the newest usable one
   */
  public SslContext context() {
    return context;
  }

  private void reload() {
    if (stopped) {
      return;
    }
    reloadNow();
    executor.schedule(this::reload, intervalNanos, TimeUnit.NANOSECONDS);
  }

  /** Reads the files once and takes them over when they changed and can be used. */
  void reloadNow() {
    try {
      byte[] newCertificate = Files.readAllBytes(certificate);
      byte[] newKey = Files.readAllBytes(key);
      if (Arrays.equals(newCertificate, certificateBytes) && Arrays.equals(newKey, keyBytes)) {
        return;
      }
      certificateBytes = newCertificate;
      keyBytes = newKey;
      context = build(newCertificate, newKey);
      LOG.info("certificate {} reloaded", certificate);
    } catch (IOException e) {
      LOG.warn(
          "certificate {} not usable, the previous one stays: {}", certificate, e.getMessage());
    }
  }

  private static SslContext build(byte[] certificate, byte[] key) throws IOException {
    KeyPairCheck.check(certificate, key);
    try {
      return SslContextBuilder.forServer(
              new ByteArrayInputStream(certificate), new ByteArrayInputStream(key))
          .build();
    } catch (IllegalArgumentException e) {
      throw new IOException("not a usable certificate and key", e);
    }
  }
}
