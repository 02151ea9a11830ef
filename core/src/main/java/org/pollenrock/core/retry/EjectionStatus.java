package org.pollenrock.core.retry;

/** Whether a server may get requests, as decided by {@link OutlierEjector}. */
public enum EjectionStatus {
  /** The server is not ejected and may get requests. */
  ALLOWED,
  /** The server may get exactly one request, which decides whether it is reinstated. */
  TRIAL,
  /** The server is ejected, or its trial request is outstanding; it gets no requests. */
  EXCLUDED
}
