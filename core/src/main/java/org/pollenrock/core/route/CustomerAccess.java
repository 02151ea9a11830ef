package org.pollenrock.core.route;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The customer that an API key belongs to, with the properties that apply to its requests.
 *
 * @param name name of the customer
 * @param priority priority of the customer's requests, which overrides the priority of the route
 * @param isolated whether the customer shares cached prompts with no other customer
 * @param quota what the customer may use; empty if that is not limited
 */
public record CustomerAccess(
    String name, OptionalInt priority, boolean isolated, Optional<CustomerQuota> quota) {}
