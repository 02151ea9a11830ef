/**
 * Format of the records that routers append to the platform's log.
 *
 * <p>A log entry holds a sequence of frames: type (1 byte), payload length (4 bytes), CRC-32 of
 * type and payload (4 bytes), payload. A reader skips and counts frames that are corrupt or of an
 * unknown type, so that neither a corrupt frame nor a record of a newer version stops the reader.
 */
package org.pollenrock.core.record;
