/**
 * Registry of the listed backend servers and the state that this instance keeps for each of them:
 * load, reachability, failures and versions of model weights.
 */
package org.pollenrock.core.fleet;
