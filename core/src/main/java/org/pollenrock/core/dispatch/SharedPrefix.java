package org.pollenrock.core.dispatch;

/**
 * Leading parts of a prompt that other requests share.
 *
 * @param hash hash of the model and all parts of the prefix
 * @param tokens length of the prefix in tokens
 */
public record SharedPrefix(long hash, int tokens) {}
