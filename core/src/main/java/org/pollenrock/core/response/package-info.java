/** Decides whether received bytes are a response, and to which request. */
package org.pollenrock.core.response;
