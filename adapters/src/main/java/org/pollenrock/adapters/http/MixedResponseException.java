package org.pollenrock.adapters.http;

import java.io.Serial;

/** The received bytes are not one whole response to the request. */
final class MixedResponseException extends Exception {
  @Serial private static final long serialVersionUID = 1L;

  MixedResponseException(String reason) {
    super(reason, null, false, false);
  }
}
