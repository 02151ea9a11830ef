package org.pollenrock.core.quarantine;

/** Listener for tests that don't depend on the announcements of a quarantine. */
public final class IgnoredAnnouncements implements QuarantineListener {
  @Override
  public void struck(CrashQuarantine.Strike strike) {}

  @Override
  public void cleared(long part, long nanos) {}

  @Override
  public void quarantined(long part, String partId) {}
}
