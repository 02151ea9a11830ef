package org.pollenrock.bench.workload;

/**
 * Text of a request, in parts, so that traces share the long ones.
 *
 * @param system system message of a chat, or empty
 * @param shared leading part of the user text that other requests have too
 * @param question trailing part that is this request's own
 */
public record Prompt(String system, String shared, String question) {
  /**
   * Joins the user text.
   *
   * @return the shared part and the question
   */
  public String user() {
    return shared + question;
  }
}
