package org.pollenrock.core.limits;

/** Quantity that a limit bounds, with the unit in which its values, shares and loans are given. */
public enum LimitDimension {
  /** Requests per second, in thousandths of a request per second. */
  REQUEST_RATE,
  /** Number of requests that run at the same time. */
  CONCURRENT_REQUESTS,
  /** Prompt tokens per second. */
  PROMPT_TOKEN_RATE
}
