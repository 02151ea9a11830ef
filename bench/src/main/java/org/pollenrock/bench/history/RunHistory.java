package org.pollenrock.bench.history;

import java.util.List;
import org.pollenrock.bench.drive.Outcome;
import org.pollenrock.standin.service.Execution;

/**
 * Everything that was seen of one run, from outside the routers.
 *
 * @param outcomes what the callers saw
 * @param engineRuns requests that engines ran
 * @param postings calls that plain servers ran
 * @param foreignHits hits of engines on another customer's blocks
 * @param departures servers that began to leave
 * @param revisions settings revisions that routers reported, in order per router
 */
public record RunHistory(
    List<Outcome> outcomes,
    List<EngineRun> engineRuns,
    List<Execution> postings,
    long foreignHits,
    List<ServerDeparture> departures,
    List<RevisionSample> revisions) {

  /** Copies the lists. */
  public RunHistory {
    outcomes = List.copyOf(outcomes);
    engineRuns = List.copyOf(engineRuns);
    postings = List.copyOf(postings);
    departures = List.copyOf(departures);
    revisions = List.copyOf(revisions);
  }
}
