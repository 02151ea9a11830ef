package org.pollenrock.protocol.link;

import org.pollenrock.protocol.generated.Hello;

/**
 * Who is at one end of a link.
 *
 * @param instance name of the router instance
 * @param dataCentre its data centre
 * @param incarnation its incarnation
 */
public record PeerIdentity(String instance, String dataCentre, long incarnation) {
  /** Version of the messages; a peer with another one is refused. */
  public static final int PROTOCOL_VERSION = 1;

  static PeerIdentity of(Hello hello) {
    return new PeerIdentity(hello.getInstance(), hello.getDataCentre(), hello.getIncarnation());
  }

  Hello toHello() {
    return Hello.newBuilder()
        .setProtocolVersion(PROTOCOL_VERSION)
        .setInstance(instance)
        .setDataCentre(dataCentre)
        .setIncarnation(incarnation)
        .build();
  }
}
