/** Client of plain services. */
package org.pollenrock.adapters.plain;
