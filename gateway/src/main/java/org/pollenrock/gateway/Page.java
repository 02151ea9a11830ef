package org.pollenrock.gateway;

/**
 * HTTP response of a {@link PageListener} to an operator or a load balancer.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body the body
 */
public record Page(int status, String contentType, byte[] body) {
  /** Content type of plain text. */
  public static final String TEXT = "text/plain; charset=utf-8";

  /** Content type of JSON. */
  public static final String JSON = "application/json";

  /**
   * Creates a page without a body.
   *
   * @param status HTTP status
   * @return the page
   */
  public static Page empty(int status) {
    return new Page(status, TEXT, new byte[0]);
  }
}
