/** The task that owns all decision state, and the values that it answers with. */
package org.pollenrock.router.decision;
