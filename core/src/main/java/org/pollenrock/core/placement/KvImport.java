package org.pollenrock.core.placement;

import org.pollenrock.core.model.BackendServerId;

/**
 * Advice to import cached blocks before the prefill instead of computing them.
 *
 * @param source the KV store or engine that is believed to hold the blocks
 * @param firstBlock first block to import, from 0
 * @param endBlock block after the last one to import
 * @param expectedNanos expected time of the import
 */
public record KvImport(
    BackendServerId source, int firstBlock, int endBlock, double expectedNanos) {}
