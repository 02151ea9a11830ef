package org.pollenrock.core.placement;

import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/**
 * A server that was considered for a request, with its estimated cost.
 *
 * @param server the server
 * @param dataCentre data centre of the server
 * @param incarnation incarnation of the server that the estimates apply to
 * @param weights the weights version that the server would use
 * @param origin why the server was considered
 * @param expectedCachedTokens prompt tokens that the server is expected to have cached
 * @param cost cost of the request on this server, broken down into its terms
 * @param kvImport blocks to import before the prefill; present only when importing them is expected
 *     to be faster than computing them
 */
public record Candidate(
    BackendServerId server,
    DataCentreId dataCentre,
    Incarnation incarnation,
    WeightsVersion weights,
    CandidateOrigin origin,
    double expectedCachedTokens,
    CostTerms cost,
    Optional<KvImport> kvImport) {}
