package org.pollenrock.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.collection.BoundedMap;

/**
 * This instance's view of the prefix store, an external server from which all engines can fetch
 * cached prefixes of prompts.
 *
 * <p>Only long prefixes are worth the bytes of a transfer. The store evicts the least recently used
 * prefixes and loses its contents when it restarts. If a prefix is not in the store, the engine
 * only has to read it.
 */
public final class PrefixStoreView {
  /**
   * Minimum length of a saved prefix, in tokens; reading a shorter one takes about as long as
   * fetching it.
   */
  private static final int MIN_PREFIX_TOKENS = 1_500;

  /**
   * Minimum share of the prompt that its shared prefix must have, because the rest of the prompt is
   * saved with it.
   */
  private static final double MIN_PREFIX_SHARE = 0.25;

  /** Time after which a save that was not confirmed is no longer assumed to be in progress. */
  private static final long SAVE_TIMEOUT_NANOS = 3_000_000_000L;

  /** Maximum number of recorded prefixes; beyond it, the oldest record is dropped. */
  private static final int MAX_PREFIXES = 16_384;

  private final Map<Long, Boolean> storedParts = new BoundedMap<>(MAX_PREFIXES);
  private final Map<Long, Long> saveStartNanos = new BoundedMap<>(MAX_PREFIXES);
  private Optional<String> address = Optional.empty();
  private boolean reachable;

  /** Creates a view without a store. */
  public PrefixStoreView() {}

  /**
   * Sets the address of the store. A changed address discards everything recorded.
   *
   * @param newAddress host and port; empty if there is no store
   */
  public void setAddress(Optional<String> newAddress) {
    if (!address.equals(newAddress)) {
      address = newAddress;
      reachable = false;
      clear();
    }
  }

  /**
   * Returns the address of the store.
   *
   * @return host and port, if there is a store
   */
  public Optional<String> address() {
    return address;
  }

  /**
   * Sets whether the store responds.
   *
   * @param newReachable whether the store responds
   */
  public void setReachable(boolean newReachable) {
    reachable = newReachable;
  }

  /**
   * Returns whether there is a store and it responds.
   *
   * @return whether the store can be used
   */
  public boolean isReachable() {
    return address.isPresent() && reachable;
  }

  /** Discards all records because the store lost its contents. */
  public void clear() {
    storedParts.clear();
    saveStartNanos.clear();
  }

  /**
   * Records that the store contains a part.
   *
   * @param key hash of the part
   * @return whether this was not known
   */
  public boolean markStored(long key) {
    saveStartNanos.remove(key);
    return storedParts.put(key, true) == null;
  }

  /**
   * Records that the store evicted a part.
   *
   * @param key hash of the part
   * @return whether the store was known to contain it
   */
  public boolean markDropped(long key) {
    return storedParts.remove(key) != null;
  }

  /**
   * Returns the length of the shared prefix of a prompt that an engine can fetch from the store.
   *
   * @param prompt the prompt
   * @param salt cache salt of the prompt
   * @return length in tokens; 0 if the store does not respond or has not stored the first part
   */
  public int storedTokens(Prompt prompt, String salt) {
    int tokens = 0;
    if (!isReachable()) {
      return tokens;
    }
    for (PromptPart part : prompt.sharedParts()) {
      if (!storedParts.containsKey(PrefixDirectory.key(salt, part.id()))) {
        break;
      }
      tokens += part.tokens();
    }
    return tokens;
  }

  /**
   * Returns the address to which an engine should save a prompt after reading it, and records that
   * the save is in progress.
   *
   * @param prompt the prompt
   * @param salt cache salt of the prompt
   * @param nowNanos current time
   * @return address of the store; empty if the store contains the prefix or a save is in progress
   */
  public Optional<String> tryStartSave(Prompt prompt, String salt, long nowNanos) {
    if (!isReachable() || !isWorthSaving(prompt)) {
      return Optional.empty();
    }
    long key = key(prompt, salt);
    Long startNanos = saveStartNanos.get(key);
    if (storedParts.containsKey(key)
        || startNanos != null && nowNanos - startNanos < SAVE_TIMEOUT_NANOS) {
      return Optional.empty();
    }
    saveStartNanos.put(key, nowNanos);
    return address;
  }

  private static boolean isWorthSaving(Prompt prompt) {
    int sharedTokens = prompt.sharedTokens();
    return sharedTokens >= MIN_PREFIX_TOKENS && sharedTokens >= MIN_PREFIX_SHARE * prompt.tokens();
  }

  /**
   * Returns the hash that identifies the shared prefix of a prompt in the store.
   *
   * @param prompt a prompt with a shared prefix
   * @param salt cache salt under which engines cache the prefix
   * @return the hash
   */
  public static long key(Prompt prompt, String salt) {
    List<PromptPart> parts = prompt.parts();
    return PrefixDirectory.key(salt, parts.get(parts.size() - 2).id());
  }
}
