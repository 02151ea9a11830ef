package org.pollenrock.gateway;

import java.util.List;
import org.pollenrock.core.fleet.ListedBackend;

/**
 * Logs and counts what is unusual in the responses to a send.
 *
 * @param components the log and the metrics
 * @param requestId identifier of the request
 * @param server the server that the request is sent to
 */
record SendLog(GatewayComponents components, String requestId, ListedBackend server) {
  /** Records a response that belongs to another request. */
  void foreignResponse(String otherId) {
    components.metrics().recordForeignResponse();
    components
        .log()
        .line("foreign_answer")
        .with("id", requestId)
        .with("server", server.id())
        .with("answer_to", otherId)
        .write();
  }

  /** Logs headers that could not be parsed, if there are any. */
  void unreadableHeaders(List<String> names) {
    if (names.isEmpty()) {
      return;
    }
    components
        .log()
        .line("answer_headers_unreadable")
        .with("id", requestId)
        .with("server", server.id())
        .with("headers", String.join(",", names))
        .write();
  }

  /** Records a head that is not that of one response. */
  void malformedHead(MalformedHead head) {
    components.metrics().recordMalformedHead(head.fault());
    head.log(components.log(), requestId, server.id(), server.address());
  }
}
