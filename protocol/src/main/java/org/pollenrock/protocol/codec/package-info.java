/** Length-prefixed frames of protobuf messages on a Netty channel. */
package org.pollenrock.protocol.codec;
