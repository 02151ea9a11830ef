package org.pollenrock.router.filter;

import java.util.OptionalLong;

/** How an attempt at a completion is sent. */
sealed interface SendMode {
  /** Offset of the attempt's own token indexes in the whole response. */
  long indexOffset();

  /** The request as the caller sent it. */
  record Fresh() implements SendMode {
    @Override
    public long indexOffset() {
      return 0;
    }
  }

  /** Reconnects to a run on the same server. */
  record Resume(OptionalLong lastEventId, long indexOffset) implements SendMode {}

  /** Starts another run from the prompt plus the text relayed so far. */
  record Continue(long indexOffset) implements SendMode {}
}
