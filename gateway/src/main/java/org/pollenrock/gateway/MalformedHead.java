package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import org.pollenrock.core.response.HeadFault;

/**
 * Head of a response that is not that of one response.
 *
 * @param fault what is wrong with the head
 * @param status status of the head
 * @param excerpt begin of the reason phrase and of the fields
 * @param earlierRequests number of requests that the connection has carried before
 * @param skippedResponses number of responses that were skipped on the connection
 */
record MalformedHead(
    HeadFault fault, int status, String excerpt, long earlierRequests, long skippedResponses) {
  private static final int MAX_EXCERPT_CHARS = 400;
  private static final int MAX_VALUE_CHARS = 80;

  static MalformedHead of(
      HeadFault fault, HttpResponse head, long earlierRequests, long skippedResponses) {
    StringBuilder text = new StringBuilder(shorten(head.status().reasonPhrase()));
    for (Map.Entry<String, String> field : head.headers()) {
      if (text.length() > MAX_EXCERPT_CHARS) {
        break;
      }
      text.append(" | ").append(shorten(field.getKey())).append(": ");
      text.append(shorten(field.getValue()));
    }
    return new MalformedHead(
        fault, head.status().code(), text.toString(), earlierRequests, skippedResponses);
  }

  private static String shorten(String text) {
    return text.length() <= MAX_VALUE_CHARS ? text : text.substring(0, MAX_VALUE_CHARS);
  }

  /** Writes a line of the log that tells what the head looked like. */
  void log(EventLog log, String id, String server, String address) {
    log.line("response_malformed")
        .with("id", id)
        .with("server", server)
        .with("address", address)
        .with("fault", fault.name())
        .with("status", status)
        .with("head", excerpt)
        .with("earlier_requests", earlierRequests)
        .with("skipped_responses", skippedResponses)
        .write();
  }
}
