/** Stand-ins of the KV cache store and the weight store. */
package org.pollenrock.standin.store;
