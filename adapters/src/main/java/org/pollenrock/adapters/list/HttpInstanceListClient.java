package org.pollenrock.adapters.list;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.pollenrock.adapters.http.ConnectionUse;
import org.pollenrock.adapters.http.HeldBytes;
import org.pollenrock.adapters.http.HostPort;
import org.pollenrock.adapters.http.HttpCall;
import org.pollenrock.adapters.http.HttpTransport;
import org.pollenrock.adapters.http.JsonCalls;
import org.pollenrock.core.error.ErrorCode;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.Result;

/** {@link InstanceListClient} over HTTP. */
public final class HttpInstanceListClient implements InstanceListClient {
  private static final int MAX_LIST_BYTES = 16 * 1024 * 1024;

  private final HttpTransport transport;
  private final HostPort address;
  private final HeldBytes held = new HeldBytes(MAX_LIST_BYTES);
  private final Duration timeout;
  private final Peer peer;
  private final JsonCalls json = new JsonCalls(ErrorCode.NO_SERVER);

  /**
   * Creates a client.
   *
   * @param transport connections
   * @param address where the list listens
   * @param timeout longest time of a read
   */
  public HttpInstanceListClient(HttpTransport transport, HostPort address, Duration timeout) {
    this.transport = transport;
    this.address = address;
    this.timeout = timeout;
    this.peer = new Peer(Peer.Kind.INSTANCE_LIST, address.toString());
  }

  @Override
  public CompletionStage<Result<InstanceList>> read() {
    HttpCall call =
        new HttpCall(
            address,
            "GET",
            "/instances",
            new DefaultHttpHeaders(),
            new byte[0],
            timeout,
            MAX_LIST_BYTES,
            held,
            ConnectionUse.ANY);
    return transport.call(call).thenApply(outcome -> json.read(outcome, peer, InstanceList.class));
  }
}
