/** Stand-in of a model engine: continuous batching on a small scale with a prefix cache. */
package org.pollenrock.standin.engine;
