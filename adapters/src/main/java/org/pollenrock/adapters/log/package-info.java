/** Client of the append-only log service. */
package org.pollenrock.adapters.log;
