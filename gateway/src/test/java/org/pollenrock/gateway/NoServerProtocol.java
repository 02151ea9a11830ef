package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.pollenrock.core.fleet.LoadReport;
import org.pollenrock.core.fleet.ServerNotice;
import org.pollenrock.core.ratelimit.RateNotice;

/** Protocol of servers for tests that send no requests. */
final class NoServerProtocol implements ServerProtocol {
  @Override
  public void prepare(HttpHeaders headers, SendContext context) {
    throw new IllegalStateException("no request is sent");
  }

  @Override
  public List<String> identifyingHeaders() {
    return List.of();
  }

  @Override
  public ServerResponseMetadata decode(HttpResponse response) {
    throw new IllegalStateException("no response is received");
  }

  @Override
  public ServerNotice decodeNotice(int status, HttpHeaders headers) {
    throw new IllegalStateException("no response is received");
  }

  @Override
  public RateNotice decodeRate(HttpHeaders headers) {
    throw new IllegalStateException("no probe is sent");
  }

  @Override
  public Optional<LoadReport> decodeLoad(HttpHeaders headers) {
    throw new IllegalStateException("no probe is sent");
  }
}
