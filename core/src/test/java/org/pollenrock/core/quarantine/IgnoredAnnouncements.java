package org.pollenrock.core.quarantine;

/** Listener for tests that don't depend on the announcements of a quarantine. */
public final class IgnoredAnnouncements implements PartQuarantine.Listener {
  @Override
  public void struck(PartQuarantine.Strike strike) {}

  @Override
  public void cleared(long part, long nanos) {}

  @Override
  public void quarantined(long part, String partId) {}
}
