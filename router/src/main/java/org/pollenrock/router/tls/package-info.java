/** TLS contexts of listeners, read again when their files change. */
package org.pollenrock.router.tls;
