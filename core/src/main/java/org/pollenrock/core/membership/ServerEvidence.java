package org.pollenrock.core.membership;

import java.util.Objects;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.Incarnation;

/** Evidence about one incarnation of a backend server. */
public sealed interface ServerEvidence {
  /**
   * Which server.
   *
   * @return its name
   */
  BackendServerId server();

  /**
   * Which life of it.
   *
   * @return the incarnation
   */
  Incarnation incarnation();

  /**
   * The server's own report, read by this router.
   *
   * @param server which server
   * @param incarnation which life of it
   * @param leaving whether it says that it leaves
   */
  record Report(BackendServerId server, Incarnation incarnation, boolean leaving)
      implements ServerEvidence {
    /** Checks that the parts are present. */
    public Report {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(incarnation, "incarnation");
    }
  }

  /**
   * The server refused a request because it leaves.
   *
   * @param server which server
   * @param incarnation which life of it
   */
  record LeavingRefusal(BackendServerId server, Incarnation incarnation) implements ServerEvidence {
    /** Checks that the parts are present. */
    public LeavingRefusal {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(incarnation, "incarnation");
    }
  }

  /**
   * A peer passed on what the server said.
   *
   * @param server which server
   * @param incarnation which life of it
   * @param leaving whether it leaves
   * @param ageNanos time since the server said so, as far as the peer knows
   */
  record PeerDigest(BackendServerId server, Incarnation incarnation, boolean leaving, long ageNanos)
      implements ServerEvidence {
    /** Checks that the parts are present. */
    public PeerDigest {
      Objects.requireNonNull(server, "server");
      Objects.requireNonNull(incarnation, "incarnation");
    }
  }
}
