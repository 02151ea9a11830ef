package org.pollenrock.standin.engine;

/**
 * Text whose next word depends only on the text before it and the weights version.
 *
 * <p>So a stream that another engine continues from the prompt and the words so far is the same as
 * an unbroken one, and a test can tell whether an answer is whole.
 */
public final class GeneratedText {
  private static final long MULTIPLIER = 1_000_003L;
  private static final int WORDS = 100_000;

  private final long versionHash;
  private long state;

  /**
   * Begins after a prompt.
   *
   * @param prompt the text before the first word
   * @param version weights version
   */
  public GeneratedText(String prompt, String version) {
    this.versionHash = fold(7, version);
    this.state = fold(1, prompt);
  }

  /**
   * Makes the next word and moves past it.
   *
   * @return a space and a word
   */
  public String next() {
    long mixed = (state ^ versionHash) * 0x9E3779B97F4A7C15L;
    String word = " w" + Long.remainderUnsigned(mixed >>> 20, WORDS);
    state = fold(state, word);
    return word;
  }

  /**
   * Makes a whole answer.
   *
   * @param prompt the text before the first word
   * @param version weights version
   * @param words number of words
   * @return the words joined
   */
  public static String whole(String prompt, String version, int words) {
    GeneratedText text = new GeneratedText(prompt, version);
    StringBuilder joined = new StringBuilder();
    for (int i = 0; i < words; i++) {
      joined.append(text.next());
    }
    return joined.toString();
  }

  private static long fold(long from, String text) {
    long hash = from;
    for (int i = 0; i < text.length(); i++) {
      hash = hash * MULTIPLIER + text.charAt(i);
    }
    return hash;
  }
}
