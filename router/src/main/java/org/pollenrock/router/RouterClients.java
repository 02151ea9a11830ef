package org.pollenrock.router;

import io.netty.channel.EventLoopGroup;
import io.netty.util.Timer;
import java.time.Duration;
import org.pollenrock.adapters.engine.EngineClient;
import org.pollenrock.adapters.engine.HttpEngineClient;
import org.pollenrock.adapters.http.HeldBytes;
import org.pollenrock.adapters.http.HostPort;
import org.pollenrock.adapters.http.HttpTransport;
import org.pollenrock.adapters.list.HttpInstanceListClient;
import org.pollenrock.adapters.list.InstanceListClient;
import org.pollenrock.adapters.log.HttpLogClient;
import org.pollenrock.adapters.log.LogClient;
import org.pollenrock.adapters.plain.HttpPlainServiceClient;
import org.pollenrock.adapters.plain.PlainServiceClient;
import org.pollenrock.settings.ProcessSettings;

/**
 * Clients of one router, all on one transport.
 *
 * @param transport connections
 * @param engines client of engines
 * @param services client of plain services
 * @param list client of the instance list
 * @param log client of the log
 */
record RouterClients(
    HttpTransport transport,
    EngineClient engines,
    PlainServiceClient services,
    InstanceListClient list,
    LogClient log) {
  static RouterClients create(
      RouterConfig config, EventLoopGroup loops, Timer timer, HeldBytes held) {
    ProcessSettings process = config.process();
    HttpTransport transport =
        new HttpTransport(loops, timer, Duration.ofNanos(process.limits().connectTimeoutNanos()));
    int eventBytes = process.limits().eventBytes();
    int bodyBytes = process.limits().bodyBytes();
    return new RouterClients(
        transport,
        new HttpEngineClient(
            transport,
            new HttpEngineClient.Bounds(
                eventBytes, eventBytes, bodyBytes, config.times().control()),
            held),
        new HttpPlainServiceClient(transport, bodyBytes, held),
        new HttpInstanceListClient(
            transport,
            address(process.list().address()),
            Duration.ofNanos(process.list().timeoutNanos())),
        new HttpLogClient(
            transport,
            address(process.log().address()),
            Duration.ofNanos(process.log().timeoutNanos())));
  }

  private static HostPort address(org.pollenrock.settings.HostPort address) {
    return HostPort.parse(address.toString());
  }
}
