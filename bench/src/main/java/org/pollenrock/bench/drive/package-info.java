/** Open-loop driver that sends a trace to routers and records each outcome. */
package org.pollenrock.bench.drive;
