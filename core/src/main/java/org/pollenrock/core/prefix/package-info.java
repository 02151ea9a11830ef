/**
 * Identity of cached prompt prefixes.
 *
 * <p>{@link org.pollenrock.core.prefix.PromptBlocks} digests the content of a prompt once. {@link
 * org.pollenrock.core.prefix.PrefixFingerprinter} derives the chain of block keys for one {@link
 * org.pollenrock.core.prefix.CacheScope} from these digests, at the cost of one short digest per
 * block, because two weights versions can be live while a rollout is in progress. The scope digest
 * is the parent of the first block, so no key is shared between customers, models, adapters or
 * weights versions.
 */
package org.pollenrock.core.prefix;
