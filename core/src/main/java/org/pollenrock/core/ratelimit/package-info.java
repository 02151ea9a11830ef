/** Request rates that backend servers name, which all instances together must not exceed. */
package org.pollenrock.core.ratelimit;
