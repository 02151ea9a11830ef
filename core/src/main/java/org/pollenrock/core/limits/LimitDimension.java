package org.pollenrock.core.limits;

/** What a limit counts, with the integer unit in which its shares are lent. */
public enum LimitDimension {
  /** Thousandths of a request per second. */
  REQUEST_RATE,
  /** Requests that run at the same time. */
  CONCURRENT_REQUESTS,
  /** Prompt tokens per second. */
  PROMPT_TOKEN_RATE
}
