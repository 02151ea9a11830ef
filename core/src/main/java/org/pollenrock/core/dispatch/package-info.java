/** Dispatch of requests: server selection, queueing, and the handling of failed sends. */
package org.pollenrock.core.dispatch;
