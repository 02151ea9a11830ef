package org.pollenrock.core.error;

/** Step of the filter chain at which an error arose. */
public enum Step {
  READ,
  AUTHENTICATE,
  IDENTIFY,
  RESOLVE,
  CLAIM,
  ADMIT,
  FINGERPRINT,
  CHOOSE,
  SEND,
  VERIFY,
  RELAY,
  FINISH
}
