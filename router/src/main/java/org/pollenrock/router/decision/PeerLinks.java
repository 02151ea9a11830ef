package org.pollenrock.router.decision;

import java.util.List;
import org.pollenrock.core.limits.LoanMessage;
import org.pollenrock.core.membership.ServerEvidence;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.settings.LogRecord;

/** What the decisions send to other routers; called on the decision thread. */
public interface PeerLinks {
  /**
   * Offset of records that carry a part of a snapshot made for the receiver: they stand on no log.
   */
  long SNAPSHOT_OFFSET = -1;

  /**
   * Oldest word of a server that is passed on. The message has no age, so receivers take every word
   * to be this old.
   */
  long MAX_DIGEST_AGE_NANOS = 1_000_000_000L;

  /**
   * Sets what heartbeats say of the settings.
   *
   * @param offset offset of the newest settings record that was applied, -1 for none
   */
  void applied(long offset);

  /**
   * Asks a peer for settings records.
   *
   * @param peer name of the peer
   * @param from offset of the first record wanted
   */
  void pull(String peer, long from);

  /**
   * Sends settings records to a peer.
   *
   * @param peer name of the peer
   * @param records the records in order
   */
  void sendRecords(String peer, List<LogRecord> records);

  /**
   * Sends settings records to all peers.
   *
   * @param records the records in order
   */
  void broadcastRecords(List<LogRecord> records);

  /**
   * Passes on what servers said.
   *
   * @param digests one entry for each server
   */
  void broadcastDigests(List<ServerEvidence.PeerDigest> digests);

  /**
   * Sends a message about a loan of a limit share.
   *
   * @param to the other router
   * @param message the message
   */
  void sendLoan(InstanceId to, LoanMessage message);
}
