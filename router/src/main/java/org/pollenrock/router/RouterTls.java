package org.pollenrock.router;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Optional;
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

  private Optional<SslContext> current() {
    return context.map(ReloadingTlsContext::context);
  }
}
