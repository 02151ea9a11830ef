package org.pollenrock.core.membership;

import java.util.Objects;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;

/** Evidence about the state of one incarnation of a backend server. */
public sealed interface ServerEvidence {
  /**
   * Returns the server that the evidence is about.
   *
   * @return the id of the server
   */
  BackendServerId server();

  /**
   * Returns the incarnation of the server that the evidence is about.
   *
   * @return the incarnation
   */
  Incarnation incarnation();

  /**
   * Report that this router has read from the server itself.
   *
   * @param server id of the server
   * @param incarnation incarnation of the server
   * @param leaving whether the server reports that it is leaving
   */
  record Report(BackendServerId server, Incarnation incarnation, boolean leaving)
      implements ServerEvidence {
    /** Checks that no reference component is null. */
    public Report {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(incarnation, "incarnation");
    }
  }

  /**
   * Refusal of a request by a server that is leaving.
   *
   * @param server id of the server
   * @param incarnation incarnation of the server
   */
  record LeavingRefusal(BackendServerId server, Incarnation incarnation) implements ServerEvidence {
    /** Checks that no reference component is null. */
    public LeavingRefusal {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(incarnation, "incarnation");
    }
  }

  /**
   * State of a server as reported to a peer and forwarded by that peer.
   *
   * @param server id of the server
   * @param incarnation incarnation of the server
   * @param leaving whether the server is leaving
   * @param ageNanos time in nanoseconds since the server reported this state, as known to the peer
   */
  record PeerDigest(BackendServerId server, Incarnation incarnation, boolean leaving, long ageNanos)
      implements ServerEvidence {
    /** Checks that no reference component is null. */
    public PeerDigest {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(incarnation, "incarnation");
    }
  }
}
