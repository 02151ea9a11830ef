package org.pollenrock.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.fleet.LoadReport;

/**
 * What the head of a server's answer says beyond plain HTTP.
 *
 * @param requestId identity of the request that it answers; empty text when it names none
 * @param notRun whether the server did not run the request and never will
 * @param serverId identity of the server, if the answer tells it
 * @param misdirected whether the server is not the expected one or has other weights
 * @param signed whether the server's signature is there, as on every answer of a run
 * @param load load of the server
 * @param weightsVersion version of the weights that made the answer
 * @param unreadableHeaders names of headers whose values could not be read; they count as absent
 */
public record ServerResponseMetadata(
    String requestId,
    boolean notRun,
    Optional<String> serverId,
    boolean misdirected,
    boolean signed,
    Optional<LoadReport> load,
    OptionalLong weightsVersion,
    List<String> unreadableHeaders) {
  /** Copies the names. */
  public ServerResponseMetadata {
    unreadableHeaders = List.copyOf(unreadableHeaders);
  }
}
