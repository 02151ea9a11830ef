package org.pollenrock.core.dispatch;

/**
 * Beginning of a prompt that other requests share.
 *
 * @param hash hash of the model and all parts of the beginning
 * @param tokens tokens of the beginning
 */
public record Beginning(long hash, int tokens) {}
