package org.pollenrock.core.claim;

import java.util.Locale;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Time-ordered idempotency key of a non-idempotent call: a UUIDv7 or a ULID.
 *
 * @param value canonical text; a UUID is in lower case, a ULID in upper case
 * @param timeMillis time embedded in the key, milliseconds since 1970
 */
public record IdempotencyKey(String value, long timeMillis) {
  private static final Pattern UUID_V7 =
      Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");
  private static final Pattern ULID = Pattern.compile("[0-7][0-9ABCDEFGHJKMNPQRSTVWXYZ]{25}");
  private static final String CROCKFORD_DIGITS = "0123456789ABCDEFGHJKMNPQRSTVWXYZ";
  private static final int ULID_TIME_DIGITS = 10;
  private static final int ULID_DIGIT_BITS = 5;

  /**
   * Parses the value of an {@code Idempotency-Key} header.
   *
   * @param text header value, in any letter case
   * @return the key, or empty when the text is neither a UUIDv7 nor a ULID
   */
  public static Optional<IdempotencyKey> parse(String text) {
    String lower = text.toLowerCase(Locale.ROOT);
    if (UUID_V7.matcher(lower).matches()) {
      String timeDigits = lower.substring(0, 8) + lower.substring(9, 13);
      return Optional.of(new IdempotencyKey(lower, Long.parseLong(timeDigits, 16)));
    }
    String upper = text.toUpperCase(Locale.ROOT);
    if (ULID.matcher(upper).matches()) {
      return Optional.of(new IdempotencyKey(upper, ulidTime(upper)));
    }
    return Optional.empty();
  }

  private static long ulidTime(String upper) {
    long time = 0;
    for (int i = 0; i < ULID_TIME_DIGITS; i++) {
      time = (time << ULID_DIGIT_BITS) | CROCKFORD_DIGITS.indexOf(upper.charAt(i));
    }
    return time;
  }
}
