package org.pollenrock.core.dispatch;

import java.util.LinkedHashSet;
import java.util.Set;

/** Counts the failed sends of one request. */
public final class SendProgress {
  private final Set<String> triedServerIds = new LinkedHashSet<>();
  private int runs;
  private int refusals;

  /** Creates the progress of a request that was not sent yet. */
  public SendProgress() {}

  /**
   * Records a failed send.
   *
   * @param serverId identifier of the server
   * @param failure how the send failed
   */
  public void recordFailure(String serverId, SendFailure failure) {
    if (failure != SendFailure.OTHER_WEIGHTS) {
      triedServerIds.add(serverId);
    }
    if (failure.certainlyNotRun()) {
      refusals++;
    } else {
      runs++;
    }
  }

  /**
   * Returns whether the request may have run.
   *
   * @return whether a send failed without the certainty that the request did not run
   */
  public boolean mayHaveRun() {
    return runs > 0;
  }

  /**
   * Returns the servers on which the request failed, which are not tried again while there are
   * others.
   *
   * @return identifiers of the servers
   */
  public Set<String> triedServerIds() {
    return Set.copyOf(triedServerIds);
  }

  /**
   * Returns the progress that another failure would leave.
   *
   * @param serverId identifier of the server
   * @param failure how the send would fail
   * @return a copy with the failure
   */
  public SendProgress with(String serverId, SendFailure failure) {
    SendProgress copy = new SendProgress();
    copy.triedServerIds.addAll(triedServerIds);
    copy.runs = runs;
    copy.refusals = refusals;
    copy.recordFailure(serverId, failure);
    return copy;
  }

  /**
   * Returns the state on which the next step depends.
   *
   * @param repeatable whether the request may run more than once
   * @param maxAttempts maximum number of servers on which the request may run
   * @param relayed whether part of a response has been relayed to the caller
   * @param resumable whether another server may continue the response
   * @return the state
   */
  public SendState state(boolean repeatable, int maxAttempts, boolean relayed, boolean resumable) {
    return new SendState(repeatable, mayHaveRun(), runs, maxAttempts, refusals, relayed, resumable);
  }
}
