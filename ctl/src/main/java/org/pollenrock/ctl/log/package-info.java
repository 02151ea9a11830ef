/** Client of the log service, and the settings stream as an operator sees it. */
package org.pollenrock.ctl.log;
