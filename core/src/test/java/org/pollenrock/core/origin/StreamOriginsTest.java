package org.pollenrock.core.origin;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against streams that are found at a version that did not begin them, or use up memory. */
class StreamOriginsTest {
  private static final StreamOrigin OLD = new StreamOrigin("llm", "v1");
  private static final StreamOrigin NEW = new StreamOrigin("llm", "v2");

  private final StreamOrigins origins = new StreamOrigins();

  /** A record of the same id may be a copy of another writer. */
  @Test
  void ownStreamGoesBeforeAStoredOne() {
    origins.recordStart("a", OLD, 1);
    origins.applyStored("a", NEW);
    origins.applyStored("b", NEW);
    assertThat(origins.find("a")).contains(OLD);
    assertThat(origins.find("b")).contains(NEW);
    assertThat(origins.find("c")).isEmpty();
  }

  /** A response whose head came, and then no event, may have been replaced by one elsewhere. */
  @Test
  void latestStartCounts() {
    origins.recordStart("a", OLD, 1);
    origins.recordStart("a", NEW, 2);
    assertThat(origins.find("a")).contains(NEW);
  }

  @Test
  void streamsOfAServiceAreFoundByTheirTime() {
    origins.recordStart("a", OLD, 1);
    origins.recordStart("b", OLD, 2);
    origins.recordStart("c", new StreamOrigin("other", "v1"), 3);
    assertThat(origins.begunSince("llm", 2)).containsOnlyKeys("b");
  }

  @Test
  void oldestStreamsLeaveFirst() {
    for (int i = 0; i < 2 * StreamOrigins.MAX_STREAMS; i++) {
      origins.recordStart("own" + i, OLD, i);
      origins.applyStored("other" + i, OLD);
    }
    assertThat(origins.find("own0")).isEmpty();
    assertThat(origins.find("other0")).isEmpty();
    assertThat(origins.begunSince("llm", 0)).hasSize(StreamOrigins.MAX_STREAMS);
  }
}
