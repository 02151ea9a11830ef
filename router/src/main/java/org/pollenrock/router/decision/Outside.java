package org.pollenrock.router.decision;

import java.util.List;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.order.ServerOrder;
import org.pollenrock.router.settings.RouterSettings;

/** What the decisions ask of the tasks that own connections; called on the decision thread. */
public interface Outside extends PeerLinks {
  /**
   * Tests on a fresh connection whether a server answers; the end is told by {@link
   * DecisionState#probeEnded}.
   *
   * @param entry the server
   * @param probe number of the probe
   */
  void probe(ServerEntry entry, long probe);

  /**
   * Reads a server's report soon.
   *
   * @param server the server
   */
  void pokeReport(BackendServerId server);

  /**
   * Sets the servers whose reports are read.
   *
   * @param servers the servers
   */
  void watchReports(List<ServerEntry> servers);

  /**
   * Appends to the claim stream; the end is told to {@link Claims}.
   *
   * @param appendId number of the append
   * @param data the record
   */
  void appendClaims(long appendId, byte[] data);

  /**
   * Appends the records of a snapshot; the end is told to {@link SettingsLog}.
   *
   * @param records the records in order
   */
  void appendSnapshot(List<byte[]> records);

  /**
   * Puts accepted settings in force for new requests.
   *
   * @param settings the settings
   */
  void inForce(RouterSettings settings);

  /**
   * Appends to a stream of the log; whether it took effect is seen by reading the stream.
   *
   * @param stream name of the stream
   * @param data the record
   */
  void append(String stream, byte[] data);

  /**
   * Sends an order; the end is told to {@link Rollouts}.
   *
   * @param entry the server
   * @param order the order
   */
  void order(ServerEntry entry, ServerOrder order);
}
