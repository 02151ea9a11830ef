package org.pollenrock.router.filter;

import org.pollenrock.core.error.RequestError;

/** How a request ended. */
public sealed interface ExchangeEnd {
  /** The whole response was handed to the connection. */
  record Completed() implements ExchangeEnd {}

  /**
   * The request failed.
   *
   * @param error what the caller is told
   */
  record Failed(RequestError error) implements ExchangeEnd {}

  /** The caller disconnected. */
  record CallerGone() implements ExchangeEnd {}
}
