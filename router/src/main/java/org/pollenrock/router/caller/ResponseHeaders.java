package org.pollenrock.router.caller;

/** Names of the headers that the router adds to responses. */
public final class ResponseHeaders {
  /** Settings revision under which the request was decided. */
  public static final String REVISION = "X-Pollenrock-Revision";

  /** Backend server that answered. */
  public static final String SERVER = "X-Pollenrock-Server";

  /** Prompt tokens that were found in the prefix cache. */
  public static final String CACHED_TOKENS = "X-Pollenrock-Cached-Tokens";

  /** Identity of the request, from the caller or made by the router. */
  public static final String REQUEST_ID = "X-Request-Id";

  private ResponseHeaders() {}
}
