package org.pollenrock.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.fleet.LoadReport;
import org.pollenrock.core.ratelimit.RateNotice;

/**
 * Metadata of a server's response that its headers carry.
 *
 * @param requestId identifier of the request that the response belongs to; empty when it names none
 * @param notRun whether the server did not run the request and never will
 * @param serverId identifier of the server, if the response names it
 * @param misdirected whether the server rejected the request because it is not the expected server
 *     or has another version of the weights
 * @param signed whether the response carries the server's signature, as every response of a run
 *     does
 * @param load load that the server reports
 * @param weightsVersion version of the weights that produced the response
 * @param rateNotice rate of requests that the server accepts
 * @param unreadableHeaders names of headers whose values could not be parsed; these headers are
 *     treated as absent
 */
public record ServerResponseMetadata(
    String requestId,
    boolean notRun,
    Optional<String> serverId,
    boolean misdirected,
    boolean signed,
    Optional<LoadReport> load,
    OptionalLong weightsVersion,
    RateNotice rateNotice,
    List<String> unreadableHeaders) {
  /** Creates the metadata with an immutable copy of the header names. */
  public ServerResponseMetadata {
    unreadableHeaders = List.copyOf(unreadableHeaders);
  }
}
