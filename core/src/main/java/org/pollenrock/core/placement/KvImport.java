package org.pollenrock.core.placement;

import org.pollenrock.core.model.BackendServerId;

/**
 * Instruction to import cached blocks before the prefill instead of computing them.
 *
 * @param source the KV store or engine that is believed to hold the blocks
 * @param firstBlock index of the first block to import, from 0
 * @param endBlock index after the last block to import
 * @param expectedNanos expected duration of the import, in nanoseconds
 */
public record KvImport(
    BackendServerId source, int firstBlock, int endBlock, double expectedNanos) {}
