/** Results of operations and request errors, with the step and the peer at which they occurred. */
package org.pollenrock.core.error;
