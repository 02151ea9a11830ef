package org.pollenrock.gateway;

import io.netty.handler.codec.CorruptedFrameException;

/** Thrown when the bytes received as one response are those of several. */
final class MixedResponseException extends CorruptedFrameException {
  private static final long serialVersionUID = 1;

  MixedResponseException(String message) {
    super(message);
  }
}
