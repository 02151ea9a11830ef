/** The commands, one class each, and the options that they share. */
package org.pollenrock.ctl.command;
