/** Bringing engines to named weights by one holder of orders at a time. */
package org.pollenrock.core.weights;
