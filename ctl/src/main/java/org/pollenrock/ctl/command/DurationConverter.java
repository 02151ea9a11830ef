package org.pollenrock.ctl.command;

import java.time.Duration;
import java.util.OptionalLong;
import org.pollenrock.core.settings.ValueType;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Reads durations on the command line as they are written in settings. */
public final class DurationConverter implements ITypeConverter<Duration> {
  @Override
  public Duration convert(String text) {
    OptionalLong nanos = ValueType.DURATION.parse(text);
    if (nanos.isEmpty() || nanos.getAsLong() == 0) {
      throw new TypeConversionException("'" + text + "' is not a duration such as 500ms or 5s");
    }
    return Duration.ofNanos(nanos.getAsLong());
  }
}
