package org.pollenrock.bench.cluster;

import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.pollenrock.bench.history.RevisionSample;

/** Samples the settings revision of every router. */
public final class RevisionSampler {
  /** Interval at which {@link #sample} is to be called, in milliseconds. */
  public static final long INTERVAL_MS = 50;

  private final TestBed bed;
  private final long startNanos;
  private final Queue<RevisionSample> samples = new ConcurrentLinkedQueue<>();

  /**
   * Makes a sampler.
   *
   * @param bed whose routers to sample
   * @param startNanos monotonic time of the history's start
   */
  public RevisionSampler(TestBed bed, long startNanos) {
    this.bed = bed;
    this.startNanos = startNanos;
  }

  /** Takes one sample of each router that has settings. */
  public void sample() {
    long atNanos = System.nanoTime() - startNanos;
    for (RouterNode router : bed.routers()) {
      router
          .revision()
          .ifPresent(revision -> samples.add(new RevisionSample(router.name(), revision, atNanos)));
    }
  }

  /**
   * Samples in order of time.
   *
   * @return all samples so far
   */
  public List<RevisionSample> samples() {
    return List.copyOf(samples);
  }
}
