/**
 * The shared settings tree, its effective values, and the acceptance of changes.
 *
 * <p>A tree is typed and immutable; a change copies only the entries that it touches, so that trees
 * of neighbouring revisions share nearly everything. Acceptance is a pure function of the log's
 * prefix: every router that has read the same records holds the same tree, revision and digest. The
 * grammar of values and the checks of a tree are here, so that a file, a published change and a
 * snapshot are judged by one set of rules.
 */
package org.pollenrock.core.settings;
