package org.pollenrock.router.decision;

import java.util.List;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.placement.Candidate;

/**
 * Why a request went where it went.
 *
 * @param requestId identity of the request
 * @param server the chosen server
 * @param expectedCachedTokens prompt tokens that the server was believed to hold
 * @param promptTokens estimated tokens of the prompt
 * @param candidates all candidates with their costs, best first
 */
public record Explanation(
    String requestId,
    BackendServerId server,
    int expectedCachedTokens,
    int promptTokens,
    List<Candidate> candidates) {}
