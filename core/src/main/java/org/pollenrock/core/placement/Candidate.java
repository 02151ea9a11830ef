package org.pollenrock.core.placement;

import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.DataCentreId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.WeightsVersion;

/**
 * A server that was considered for a request.
 *
 * @param server the server
 * @param dataCentre where it runs
 * @param incarnation the life that the figures hold for
 * @param weights the weights version that it serves
 * @param origin why it was considered
 * @param expectedCachedTokens prompt tokens that it is expected to have cached
 * @param cost parts of its cost
 * @param kvImport blocks to import first, when that is faster than computing them
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
