/** Stand-in of the append-only log service. */
package org.pollenrock.standin.log;
