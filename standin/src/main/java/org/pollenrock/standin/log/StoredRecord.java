package org.pollenrock.standin.log;

/**
 * A record of a stream.
 *
 * @param offset position in the stream
 * @param timeMs append time by the log's clock, in milliseconds
 * @param data the bytes
 */
public record StoredRecord(long offset, long timeMs, byte[] data) {}
