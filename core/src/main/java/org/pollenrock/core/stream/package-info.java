/**
 * Verification of responses, assembly of streamed tokens, and repair of broken streams.
 *
 * <p>A run is one execution of a request by a server. A stream is broken when its attempt ends
 * before the response is complete; another attempt then resumes the run or continues in a new one.
 *
 * <p>Every attempt to send a request has its own {@link org.pollenrock.core.stream.AttemptId},
 * which the server echoes, so that a late response or the response to another request is detected.
 * {@link org.pollenrock.core.stream.StreamAssembler} relays each token index exactly once and in
 * order across all attempts of one request. {@link org.pollenrock.core.stream.ResumePlanner}
 * decides whether a broken stream is resumed, continued in a new run, or ended with an explicit
 * error.
 */
package org.pollenrock.core.stream;
