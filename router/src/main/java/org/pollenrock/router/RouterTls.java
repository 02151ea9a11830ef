package org.pollenrock.router;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Optional;
import javax.net.ssl.SSLException;
import org.pollenrock.protocol.link.PeerTls;
import org.pollenrock.router.tls.ReloadingTlsContext;
import org.pollenrock.settings.TlsSettings;

/** TLS of the listeners of one router, where the settings ask for it. */
final class RouterTls {
  private final Optional<TlsSettings> settings;
  private final Optional<ReloadingTlsContext> context;

  RouterTls(Optional<TlsSettings> settings, EventLoopGroup loops) {
    this.settings = settings;
    this.context = settings.map(files -> read(files, loops));
  }

  private static ReloadingTlsContext read(TlsSettings files, EventLoopGroup loops) {
    try {
      return new ReloadingTlsContext(
          Path.of(files.certificate()),
          Path.of(files.key()),
          files.reloadIntervalNanos(),
          loops.next());
    } catch (IOException e) {
      throw new UncheckedIOException("TLS files: " + e.getMessage(), e);
    }
  }

  void start() {
    context.ifPresent(ReloadingTlsContext::start);
  }

  void stop() {
    context.ifPresent(ReloadingTlsContext::stop);
  }

  Optional<SslContext> callers() {
    return settings.filter(TlsSettings::callers).flatMap(on -> current());
  }

  Optional<SslContext> operators() {
    return settings.filter(TlsSettings::operators).flatMap(on -> current());
  }

  /** Both ends of a link between routers show a certificate of the peer authorities. */
  PeerTls peers() {
    return settings
        .filter(TlsSettings::peers)
        .<PeerTls>map(files -> new PeerTls.On(() -> server(files), () -> client(files)))
        .orElseGet(PeerTls.Off::new);
  }

  private static SslContext server(TlsSettings files) {
    try {
      return SslContextBuilder.forServer(new File(files.certificate()), new File(files.key()))
          .trustManager(authorities(files))
          .clientAuth(ClientAuth.REQUIRE)
          .build();
    } catch (SSLException e) {
      throw new UncheckedIOException("TLS files: " + e.getMessage(), e);
    }
  }

  /** Peers are known by address, so the authority that signed them is all that is checked. */
  private static SslContext client(TlsSettings files) {
    try {
      return SslContextBuilder.forClient()
          .keyManager(new File(files.certificate()), new File(files.key()))
          .trustManager(authorities(files))
          .endpointIdentificationAlgorithm(null)
          .build();
    } catch (SSLException e) {
      throw new UncheckedIOException("TLS files: " + e.getMessage(), e);
    }
  }

  private static File authorities(TlsSettings files) {
    return new File(files.peerAuthorities().orElse(files.certificate()));
  }

  private Optional<SslContext> current() {
    return context.map(ReloadingTlsContext::context);
  }
}
