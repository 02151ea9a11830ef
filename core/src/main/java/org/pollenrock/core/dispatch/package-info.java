/** Where a request goes, whether it waits, and what follows when a server fails it. */
package org.pollenrock.core.dispatch;
