package org.pollenrock.core.retry;

/** Whether a server may get a request. */
public enum EjectionStatus {
  /** It is in use. */
  ALLOWED,
  /** It may get exactly one request, which decides whether it returns. */
  TRIAL,
  /** It is ejected, or its trial request is outstanding. */
  EXCLUDED
}
