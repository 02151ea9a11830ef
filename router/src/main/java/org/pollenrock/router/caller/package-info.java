/** HTTP/1.1 listener for callers, with bounds on sizes, times and memory of each connection. */
package org.pollenrock.router.caller;
