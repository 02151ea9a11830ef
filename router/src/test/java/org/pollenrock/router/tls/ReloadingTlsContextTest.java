package org.pollenrock.router.tls;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.io.IOException;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.Base64;
import java.util.Date;
import javax.security.auth.x500.X500Principal;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards a running listener against unusable and half-replaced TLS files. */
class ReloadingTlsContextTest {
  @TempDir private Path directory;
  private Path certificate;
  private Path key;

  @BeforeEach
  void writeFiles() throws Exception {
    certificate = directory.resolve("tls.crt");
    key = directory.resolve("tls.key");
    write(newPair(), true, true);
  }

  private static KeyPair newPair() throws Exception {
    KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
    generator.initialize(256);
    return generator.generateKeyPair();
  }

  private void write(KeyPair pair, boolean writeCertificate, boolean writeKey) throws Exception {
    if (writeCertificate) {
      Files.writeString(certificate, pem("CERTIFICATE", selfSigned(pair).getEncoded()));
    }
    if (writeKey) {
      Files.writeString(key, pem("PRIVATE KEY", pair.getPrivate().getEncoded()));
    }
  }

  private static X509Certificate selfSigned(KeyPair pair) throws Exception {
    X500Principal name = new X500Principal("CN=localhost");
    return new JcaX509CertificateConverter()
        .getCertificate(
            new JcaX509v3CertificateBuilder(
                    name,
                    BigInteger.ONE,
                    Date.from(Instant.EPOCH),
                    Date.from(Instant.parse("2100-01-01T00:00:00Z")),
                    name,
                    pair.getPublic())
                .build(new JcaContentSignerBuilder("SHA256withECDSA").build(pair.getPrivate())));
  }

  private static String pem(String type, byte[] der) {
    String body = Base64.getMimeEncoder().encodeToString(der);
    return "-----BEGIN " + type + "-----\n" + body + "\n-----END " + type + "-----\n";
  }

  private ReloadingTlsContext open() throws IOException {
    return new ReloadingTlsContext(certificate, key, 1_000, ImmediateEventExecutor.INSTANCE);
  }

  @Test
  void replacedPairTakesEffectAndUnchangedFilesKeepTheContext() throws Exception {
    ReloadingTlsContext tls = open();
    SslContext first = tls.context();
    tls.reloadNow();
    assertThat(tls.context()).isSameAs(first);
    write(newPair(), true, true);
    tls.reloadNow();
    assertThat(tls.context()).isNotSameAs(first);
  }

  @Test
  void halfReplacedOrBrokenPairLeavesThePreviousContext() throws Exception {
    ReloadingTlsContext tls = open();
    SslContext first = tls.context();
    KeyPair next = newPair();
    write(next, true, false);
    tls.reloadNow();
    assertThat(tls.context()).isSameAs(first);
    Files.writeString(key, "not a key");
    tls.reloadNow();
    assertThat(tls.context()).isSameAs(first);
    write(next, false, true);
    tls.reloadNow();
    assertThat(tls.context()).isNotSameAs(first);
  }

  @Test
  void startFailsOnAPairThatDoesNotBelongTogether() throws Exception {
    write(newPair(), true, false);
    assertThatThrownBy(this::open).isInstanceOf(IOException.class);
  }
}
