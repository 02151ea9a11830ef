/**
 * HTTP exchanges over pooled connections, where the caller decides which connections may be used.
 */
package org.pollenrock.adapters.http;
