package org.pollenrock.gateway;

/** Limits what a server may send for one request in addition to the bytes of the response. */
final class ReceiveLimits {
  /** Maximum number of responses before the one to the request: informational or to another. */
  private static final int MAX_SKIPPED_RESPONSES = 8;

  /** Maximum number of bytes that are received before the head of the response is accepted. */
  private static final int MAX_SKIPPED_BYTES = 1 << 20;

  /** Maximum number of bytes of framing, in addition to those that the content allows. */
  private static final int MAX_FRAMING_BYTES = 256 << 10;

  /** Maximum number of bytes of framing for each byte of content; a chunk of one byte needs 5. */
  private static final int MAX_FRAMING_RATIO = 8;

  private int skippedResponses;
  private long skippedBytes;
  private long framedBytes;
  private long contentBytes;

  /** Starts to count for a new request. */
  void reset() {
    skippedResponses = 0;
    skippedBytes = 0;
    framedBytes = 0;
    contentBytes = 0;
  }

  /** Records bytes that were received while no response is accepted. */
  void recordSkippedBytes(int bytes) {
    skippedBytes += bytes;
  }

  /** Records a response that is not the one to the request. */
  void recordSkippedResponse() {
    skippedResponses++;
  }

  /** Records bytes that were received while the response is read. */
  void recordFramedBytes(int bytes) {
    framedBytes += bytes;
  }

  /** Records bytes of the content of the response. */
  void recordContent(int bytes) {
    contentBytes += bytes;
  }

  /**
   * Returns whether the server has sent more than a sound one would.
   *
   * @param withheldBytes bytes of the content that were received but not recorded yet
   */
  boolean isExceeded(long withheldBytes) {
    long receivedContentBytes = contentBytes + withheldBytes;
    return skippedResponses > MAX_SKIPPED_RESPONSES
        || skippedBytes > MAX_SKIPPED_BYTES
        || framedBytes - receivedContentBytes
            > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * receivedContentBytes;
  }
}
