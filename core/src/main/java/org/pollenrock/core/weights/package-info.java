/** Rollout of new weights to engines by one instance at a time. */
package org.pollenrock.core.weights;
