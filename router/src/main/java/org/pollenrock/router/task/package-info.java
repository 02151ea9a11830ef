/** Tasks that own one external connection each and report to the decision task. */
package org.pollenrock.router.task;
