/**
 * Identity of responses, order of streamed tokens, and resumption of broken streams.
 *
 * <p>Every send to a server has its own {@link org.pollenrock.core.stream.AttemptId}, which the
 * server echoes, so a late or swapped response is recognised. {@link
 * org.pollenrock.core.stream.StreamAssembler} relays each token index once and in order over all
 * attempts of one request; {@link org.pollenrock.core.stream.ResumePlanner} decides where a broken
 * stream goes on, or that it ends with an explicit error.
 */
package org.pollenrock.core.stream;
