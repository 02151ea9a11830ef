package org.pollenrock.gateway;

/**
 * Answer to an operator or a balancer.
 *
 * @param status HTTP status
 * @param contentType type of the body
 * @param body the body
 */
public record Page(int status, String contentType, byte[] body) {
  /** Type of plain text. */
  public static final String TEXT = "text/plain; charset=utf-8";

  /** Type of JSON. */
  public static final String JSON = "application/json";

  /**
   * A page without a body.
   *
   * @param status HTTP status
   * @return the page
   */
  public static Page empty(int status) {
    return new Page(status, TEXT, new byte[0]);
  }
}
