package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import org.pollenrock.core.fleet.Backend;
import org.pollenrock.core.fleet.LoadReport;

/**
 * Records the load that servers report in responses to requests and probes.
 *
 * @param serverProtocol decodes the reports
 * @param metrics counts reports with an unreadable pace
 * @param log receives a line for the first of them from each server
 */
record LoadReports(ServerProtocol serverProtocol, GatewayMetrics metrics, EventLog log) {
  /** Records a report of a server. */
  void record(Backend backend, LoadReport report, long nowNanos) {
    backend.recordLoad(report, nowNanos);
    if (!report.paceUnreadable()) {
      return;
    }
    metrics.recordUnreadablePace();
    if (backend.pace().recordUnreadable()) {
      log.line("server_pace_unreadable")
          .with("server", backend.entry().id())
          .with("service", backend.entry().service())
          .write();
    }
  }

  /** Records the report in the response to a probe, if there is one. */
  void recordProbe(Backend backend, HttpHeaders headers, long nowNanos) {
    serverProtocol.decodeLoad(headers).ifPresent(report -> record(backend, report, nowNanos));
  }
}
