/** Cryptographic digests of texts and bytes. */
package org.pollenrock.core.digest;
