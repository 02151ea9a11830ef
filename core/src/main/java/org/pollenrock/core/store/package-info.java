/** What positions in the platform's store mean when it comes back from an older copy. */
package org.pollenrock.core.store;
