/** Keeps requests, and parts of prompts, that crash servers away from further servers. */
package org.pollenrock.core.quarantine;
