/** The steps that a request passes through, one class each, on the caller's event loop. */
package org.pollenrock.router.filter;
