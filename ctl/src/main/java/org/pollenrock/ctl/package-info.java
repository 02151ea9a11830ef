/** The operators' tool. */
package org.pollenrock.ctl;
