/** The router daemon: process start and stop, and the assembly of its listeners and tasks. */
package org.pollenrock.router;
