package org.pollenrock.core.membership;

/** What is believed of a backend server. */
public enum ServerState {
  /** Said itself that it is live, recently enough; may get work. */
  LIVE,
  /** Known, but has not said recently that it is live; gets no work. */
  SILENT,
  /** Leaves; its current incarnation never gets work again. */
  LEAVING,
  /** Absent from the list and silent, or its address was taken over. */
  GONE
}
