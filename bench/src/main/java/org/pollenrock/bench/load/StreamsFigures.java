package org.pollenrock.bench.load;

/**
 * Result of many streams at once.
 *
 * @param streams streams that were opened
 * @param openAtOnce most streams that had begun and not ended at one moment
 * @param whole streams whose text arrived whole and right
 * @param ttftP50Ms median time to first token
 * @param ttftP99Ms 99th percentile
 */
public record StreamsFigures(
    int streams, int openAtOnce, int whole, double ttftP50Ms, double ttftP99Ms) {}
