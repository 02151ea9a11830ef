package org.pollenrock.core.dispatch;

/**
 * Decides whether a connection to a server may carry another request after a response.
 *
 * <p>A faulty server may send a copy of a response late, where the response to the next request on
 * the connection is due. The identifier in a response names the request and is the same for each
 * send of it. A copy can therefore be told from the response to a later request only if the
 * response names its request, and if this request is never sent again.
 */
public final class ConnectionReuse {
  private ConnectionReuse() {}

  /**
   * Returns whether the connection may carry another request.
   *
   * @param identified whether the response names the request that it belongs to
   * @param concluded whether the request has its final result, so that it is not sent again
   * @param foreignSeen whether the connection has carried a response to another request
   * @return false if a copy of the response could be mistaken for the response to a later request,
   *     or if further copies may follow
   */
  public static boolean isAllowed(boolean identified, boolean concluded, boolean foreignSeen) {
    return identified && concluded && !foreignSeen;
  }

  /**
   * Returns whether a response may be taken as that to the request on its connection.
   *
   * @param identified whether the response names the request
   * @param foreignSeen whether the connection has carried a response to another request before
   * @return false if the response may be a copy of the response to another request
   */
  public static boolean isCredible(boolean identified, boolean foreignSeen) {
    return identified || !foreignSeen;
  }
}
