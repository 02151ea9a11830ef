/**
 * Keys that identify cached prompt prefixes.
 *
 * <p>The content of a prompt is digested once, into {@link
 * org.pollenrock.core.prefix.PromptBlocks}. {@link org.pollenrock.core.prefix.PrefixFingerprinter}
 * then derives the chain of block keys for a {@link org.pollenrock.core.prefix.CacheScope} from
 * these digests, at the cost of one short digest per block. Chains for several scopes are needed
 * when servers serve two weights versions during a rollout. The scope digest is the parent of the
 * first block, so no key is shared between customers, models, adapters or weights versions.
 */
package org.pollenrock.core.prefix;
