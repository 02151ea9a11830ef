/** Client of the instance list. */
package org.pollenrock.adapters.list;
