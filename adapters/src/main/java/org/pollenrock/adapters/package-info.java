/**
 * Clients of external systems over HTTP, one package per system.
 *
 * <p>Each client is an interface with an HTTP implementation. Outcomes are typed values; errors
 * carry the step and the peer, and state whether the request may have run.
 */
package org.pollenrock.adapters;
