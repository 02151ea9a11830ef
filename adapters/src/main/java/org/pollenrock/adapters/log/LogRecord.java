package org.pollenrock.adapters.log;

/**
 * One record of the log.
 *
 * @param offset position in its stream
 * @param timeMillis time by the log's clock, in milliseconds
 * @param data content
 */
public record LogRecord(long offset, long timeMillis, byte[] data) {}
