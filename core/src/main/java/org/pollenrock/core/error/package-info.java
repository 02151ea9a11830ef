/** Typed results and request errors, each with the step and the peer at which it arose. */
package org.pollenrock.core.error;
