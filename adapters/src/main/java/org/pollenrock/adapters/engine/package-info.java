/** Client of model engines: streamed and whole answers, reports, cache events and orders. */
package org.pollenrock.adapters.engine;
