package org.pollenrock.core.dispatch;

/**
 * Part of a prompt. Requests can share it only together with all parts before it.
 *
 * @param id identity of the part
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
