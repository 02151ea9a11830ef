/** Randomized faults from outside against real processes of the gateway. */
package org.pollenrock.soak;
