/** A small HTTP server on Netty, with connection faults, that all stand-ins share. */
package org.pollenrock.standin.http;
