/**
 * The operators' tool.
 *
 * <p>It reads and appends to the settings stream of the log and reads from routers; it never orders
 * an instance. Each command is a small class in {@code command}.
 */
package org.pollenrock.ctl;
