package org.pollenrock.bench.load;

/**
 * Time to first token with and without the router.
 *
 * @param directP50Ms median of direct access to an engine
 * @param directP99Ms 99th percentile of direct access
 * @param routedP50Ms median through the router
 * @param routedP99Ms 99th percentile through the router
 * @param openStreams background streams that were open after the last request
 * @param wrong answers that were not whole and right, background streams included
 */
public record OverheadFigures(
    double directP50Ms,
    double directP99Ms,
    double routedP50Ms,
    double routedP99Ms,
    int openStreams,
    long wrong) {}
