package org.pollenrock.adapters.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An order that an engine shall serve a model.
 *
 * @param orderId identity; a repeated order has no second effect
 * @param model model to serve
 * @param version weights version to serve
 * @param role role to take
 * @param fence fencing number of the lease under which the order is given
 */
public record ServerOrderMessage(
    @JsonProperty("order_id") String orderId,
    @JsonProperty("model") String model,
    @JsonProperty("version") String version,
    @JsonProperty("role") String role,
    @JsonProperty("fence") long fence) {}
