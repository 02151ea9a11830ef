package org.pollenrock.router.tls;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;
import java.security.cert.CertificateFactory;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;

/** Checks that a private key belongs to a certificate, so that a half-replaced pair is noticed. */
final class KeyPairCheck {
  private static final byte[] PROBE = "pollenrock".getBytes(StandardCharsets.UTF_8);

  private KeyPairCheck() {}

  /**
   * Signs a text with the key and verifies it with the certificate.
   *
   * @throws IOException when they do not belong together or cannot be read
   */
  static void check(byte[] certificatePem, byte[] keyPem) throws IOException {
    try {
      PublicKey publicKey =
          CertificateFactory.getInstance("X.509")
              .generateCertificate(new ByteArrayInputStream(certificatePem))
              .getPublicKey();
      PrivateKey privateKey =
          KeyFactory.getInstance(publicKey.getAlgorithm())
              .generatePrivate(new PKCS8EncodedKeySpec(decode(keyPem)));
      Signature signature = Signature.getInstance(algorithm(publicKey));
      signature.initSign(privateKey);
      signature.update(PROBE);
      byte[] signed = signature.sign();
      signature.initVerify(publicKey);
      signature.update(PROBE);
      if (!signature.verify(signed)) {
        throw new IOException("the key does not belong to the certificate");
      }
    } catch (GeneralSecurityException | IllegalArgumentException e) {
      throw new IOException("the certificate and the key cannot be used together", e);
    }
  }

  private static String algorithm(PublicKey key) {
    return switch (key.getAlgorithm()) {
      case "RSA" -> "SHA256withRSA";
      case "EC" -> "SHA256withECDSA";
      default -> key.getAlgorithm();
    };
  }

  private static byte[] decode(byte[] pem) {
    String text = new String(pem, StandardCharsets.US_ASCII);
    return Base64.getMimeDecoder().decode(text.replaceAll("-----[A-Z ]+-----", ""));
  }
}
