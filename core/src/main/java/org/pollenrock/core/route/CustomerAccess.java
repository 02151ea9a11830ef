package org.pollenrock.core.route;

import java.util.OptionalInt;

/**
 * Customer that an API key belongs to.
 *
 * @param name name of the customer
 * @param priority rank of its requests, which goes before the rank of a route
 * @param isolated whether its cached prompts are shared with no other customer
 */
public record CustomerAccess(String name, OptionalInt priority, boolean isolated) {}
