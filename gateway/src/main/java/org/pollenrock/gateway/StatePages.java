package org.pollenrock.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.function.Function;
import org.pollenrock.core.fleet.Backend;

/** Serves the metrics and a dump of the state of the gateway to operators. */
final class StatePages implements Function<String, Page> {
  private final Gateway gateway;
  private final GatewayMetrics metrics;

  StatePages(Gateway gateway, GatewayMetrics metrics) {
    this.gateway = gateway;
    this.metrics = metrics;
  }

  @Override
  public Page apply(String path) {
    return switch (path) {
      case "/metrics" -> new Page(200, Page.TEXT, metrics.toPrometheusText());
      case "/state" -> new Page(200, Page.JSON, stateJson());
      default -> Page.empty(404);
    };
  }

  private byte[] stateJson() {
    ByteArrayOutputStream out = new ByteArrayOutputStream(4096);
    try (JsonGenerator json = new JsonFactory().createGenerator(out)) {
      json.writeStartObject();
      json.writeBooleanField("ready", gateway.isReady());
      json.writeNumberField(
          "config_version", gateway.configs().current().map(config -> config.version()).orElse(0L));
      json.writeNumberField("waiting", gateway.dispatcher().waitingRequests());
      json.writeNumberField("busy_callers", gateway.busyConnections());
      json.writeObjectFieldStart("weights");
      for (Map.Entry<String, Long> target : gateway.weightsTargets().newestVersions().entrySet()) {
        json.writeNumberField(target.getKey(), target.getValue());
      }
      json.writeEndObject();
      json.writeArrayFieldStart("servers");
      for (Backend backend : gateway.fleet().all()) {
        writeServer(json, backend);
      }
      json.writeEndArray();
      json.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    return out.toByteArray();
  }

  private static void writeServer(JsonGenerator json, Backend backend) throws IOException {
    long now = System.nanoTime();
    json.writeStartObject();
    json.writeStringField("id", backend.entry().id());
    json.writeStringField("service", backend.entry().service());
    json.writeStringField("address", backend.entry().address());
    json.writeStringField("data_centre", backend.entry().dataCentre());
    json.writeBooleanField("ready", backend.entry().ready());
    json.writeBooleanField("leaving", backend.notices().isLeaving());
    json.writeNumberField("on_hold_ms", backend.notices().remainingHoldNanos(now) / 1_000_000);
    json.writeNumberField("in_flight", backend.inFlightCount());
    json.writeNumberField("load", backend.load(now));
    json.writeNumberField("slots", backend.slots());
    json.writeNumberField("time_percent", Math.round(backend.speed().factor() * 100));
    json.writeNumberField("parallel_limit", backend.speed().limit().orElse(0));
    json.writeNumberField("pace_percent", backend.pace().newestPercent().orElse(0));
    json.writeNumberField("silent_ms", backend.silentNanos(now) / 1_000_000);
    json.writeNumberField("failure_rate", backend.failureRate(now));
    json.writeBooleanField("paused", backend.isPaused(now));
    json.writeBooleanField("missing", backend.isMissing());
    json.writeNumberField("own_unread_tokens", backend.ownUnreadTokens());
    json.writeEndObject();
  }
}
