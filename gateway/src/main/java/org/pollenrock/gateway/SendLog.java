package org.pollenrock.gateway;

import java.util.List;
import org.pollenrock.core.dispatch.NextStep;
import org.pollenrock.core.dispatch.SendFailure;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.ListedBackend;

/**
 * Logs and counts what is unusual in the responses to a send, and its failure.
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

  /** Logs the failure of the send, what had been relayed before, and what follows. */
  void failure(
      Backend backend,
      SendFailure failure,
      String cause,
      long relayedEvents,
      NextStep next,
      String promptParts,
      String requestHash) {
    long now = System.nanoTime();
    components
        .log()
        .line("send_failed")
        .with("id", requestId)
        .with("server", server.id())
        .with("address", server.address())
        .with("failure", failure.name())
        .with("cause", cause)
        .with("server_load", (long) backend.load(now))
        .with("server_silent_ms", backend.silentNanos(now) / 1_000_000)
        .with("events", relayedEvents)
        .with("next", next.name())
        .with("parts", promptParts)
        .with("request_hash", requestHash)
        .write();
  }

  /** Records a head that is not that of one response. */
  void malformedHead(MalformedHead head) {
    components.metrics().recordMalformedHead(head.fault());
    head.log(components.log(), requestId, server.id(), server.address());
  }
}
