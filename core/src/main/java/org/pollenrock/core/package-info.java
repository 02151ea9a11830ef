/**
 * Every decision of the router, free of I/O, threads, clocks and randomness of its own.
 *
 * <p>Time, randomness and messages are arguments; what is to be done is returned as typed values.
 * Classes are confined to one thread unless they say otherwise.
 */
package org.pollenrock.core;
