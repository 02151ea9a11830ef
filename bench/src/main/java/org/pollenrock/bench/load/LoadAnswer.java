package org.pollenrock.bench.load;

/**
 * Answer to one request as the client saw it.
 *
 * @param status HTTP status, or 0 when the connection closed before the answer was whole
 * @param body the body as UTF-8 text
 * @param firstByteNanos time from the send to the first byte of the body, or -1 without a body
 * @param nanos time from the send to the end of the answer
 */
public record LoadAnswer(int status, String body, long firstByteNanos, long nanos) {}
