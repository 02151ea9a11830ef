/** Client of the KV cache store. */
package org.pollenrock.adapters.kv;
