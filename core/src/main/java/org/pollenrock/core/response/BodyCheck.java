package org.pollenrock.core.response;

/**
 * Checks that the bytes of a body are those of one response.
 *
 * <p>A faulty server may break off a response in its body and then write a whole other one, whose
 * first bytes then stand where those of the body are due. A body may also quote the head of a
 * response. A status line in a body is therefore believed to be a part of it only if what follows
 * proves that the body ends where its framing says.
 */
public final class BodyCheck {
  /** What the bytes after the declared end of a body tell about it. */
  public enum Verdict {
    /** The body is that of one response. */
    WHOLE,
    /** Another response has begun inside the body. */
    BROKEN,
    /** More bytes are needed. */
    UNDECIDED
  }

  /**
   * Length of a status line without its reason phrase, in bytes; also that of a verdict's bytes.
   */
  public static final int STATUS_LINE_LENGTH = HeadCheck.STATUS_LINE_LENGTH;

  /** Maximum length of the name's end, the colon and the space before an identifier. */
  private static final int FIELD_START_LENGTH = 8;

  private final String requestId;

  /** Last bytes added; empty if no status line begins in them. */
  private String tail = "";

  /** Position in the tail at or before which a status line begins; negative if there is none. */
  private int statusLine = -1;

  private boolean secondHead;

  /**
   * Creates a check of a body, or of a part of it that begins where its framing is certain.
   *
   * @param requestId identifier that responses to the request carry; empty if none
   */
  public BodyCheck(String requestId) {
    this.requestId = requestId;
  }

  /**
   * Adds bytes of the body.
   *
   * @param bytes the bytes, one for each character
   */
  public void add(CharSequence bytes) {
    if (statusLine < 0) {
      CharSequence start = bytes.subSequence(0, Math.min(bytes.length(), STATUS_LINE_LENGTH - 1));
      if (HeadCheck.statusLinePosition(tail + start, 0) < 0
          && HeadCheck.statusLinePosition(bytes, 0) < 0) {
        String last = end(tail + end(bytes, STATUS_LINE_LENGTH - 1), STATUS_LINE_LENGTH - 1);
        tail = last.indexOf(HeadCheck.STATUS_LINE_START) < 0 ? "" : last;
        return;
      }
    }
    String text = tail + bytes;
    if (statusLine < 0) {
      statusLine = HeadCheck.statusLinePosition(text, 0);
    }
    secondHead = secondHead || containsId(text, statusLine);
    tail = end(text, STATUS_LINE_LENGTH + FIELD_START_LENGTH + requestId.length());
    statusLine = Math.max(0, statusLine - (text.length() - tail.length()));
  }

  /**
   * Returns whether all further bytes matter; otherwise those without {@link
   * HeadCheck#STATUS_LINE_START} need not be added.
   */
  public boolean needsAllBytes() {
    return statusLine >= 0 || !tail.isEmpty();
  }

  /** Returns the last bytes added; empty if no status line begins in them. */
  public String lastBytes() {
    return tail;
  }

  /** Returns whether a status line begins in the bytes. */
  public boolean containsStatusLine() {
    return statusLine >= 0;
  }

  /** Returns whether a status line and then the identifier of the request stand in the bytes. */
  public boolean containsSecondHead() {
    return secondHead;
  }

  /** Returns whether bytes after the declared end of the body can tell that it is broken. */
  public boolean isInDoubt() {
    return statusLine >= 0 || beginsAcrossEnd("") != Verdict.WHOLE;
  }

  /**
   * Judges the body by what follows its declared end.
   *
   * @param surplus bytes that were received with the end of the body
   * @return the verdict; not undecided if there are at least {@value #STATUS_LINE_LENGTH} bytes
   */
  public Verdict judge(CharSequence surplus) {
    Verdict acrossEnd = beginsAcrossEnd(surplus);
    if (acrossEnd != Verdict.WHOLE || statusLine < 0) {
      return acrossEnd;
    }
    if (!HeadCheck.isPartOfStatusLine(surplus, 0)) {
      return Verdict.BROKEN;
    }
    return surplus.length() < STATUS_LINE_LENGTH ? Verdict.UNDECIDED : Verdict.WHOLE;
  }

  private Verdict beginsAcrossEnd(CharSequence surplus) {
    String before = end(tail, STATUS_LINE_LENGTH - 1);
    String text = before + surplus;
    for (int start = 0; start < before.length(); start++) {
      if (HeadCheck.isPartOfStatusLine(text, start)) {
        return text.length() - start < STATUS_LINE_LENGTH ? Verdict.UNDECIDED : Verdict.BROKEN;
      }
    }
    return Verdict.WHOLE;
  }

  /** Returns whether the identifier of the request is the value of a field. */
  private boolean containsId(String text, int from) {
    if (requestId.isEmpty()) {
      return false;
    }
    for (int start = text.indexOf(requestId, from);
        start >= 0;
        start = text.indexOf(requestId, start + 1)) {
      int stop = start + requestId.length();
      int colon = start - 1;
      while (colon >= 0 && text.charAt(colon) == ' ') {
        colon--;
      }
      if (colon >= 0
          && text.charAt(colon) == ':'
          && stop < text.length()
          && (text.charAt(stop) == '\r' || text.charAt(stop) == '\n')) {
        return true;
      }
    }
    return false;
  }

  private static String end(CharSequence text, int maxLength) {
    return text.subSequence(Math.max(0, text.length() - maxLength), text.length()).toString();
  }
}
