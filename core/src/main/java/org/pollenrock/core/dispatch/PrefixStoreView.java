package org.pollenrock.core.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pollenrock.core.placement.RendezvousHash;

/**
 * Store that keeps prefixes of prompts for all engines, and what it is known to keep.
 *
 * <p>Only long prefixes are worth the bytes. The store drops what was used least lately and loses
 * everything at a restart; a prefix that it lacks costs an engine nothing but reading it.
 */
public final class PrefixStoreView {
  /** Shortest prefix that is saved, in tokens; shorter ones are read about as fast. */
  private static final int MIN_PREFIX_TOKENS = 1_500;

  /** Shortest part of a prompt that its prefix must be, since the rest is saved with it. */
  private static final double MIN_PREFIX_SHARE = 0.25;

  /** Time for which a save is taken to be under way. */
  private static final long SAVE_TIMEOUT_NANOS = 3_000_000_000L;

  /** Prefixes that are remembered; the one known for the longest time yields. */
  private static final int MAX_PREFIXES = 16_384;

  private final Map<Long, Boolean> storedPrefixes = boundedMap();
  private final Map<Long, Long> saveStartNanos = boundedMap();
  private Optional<String> address = Optional.empty();
  private boolean reachable;

  /** Creates knowledge of no store. */
  public PrefixStoreView() {}

  /**
   * Sets the store's address.
   *
   * @param newAddress host and port; empty when there is no store
   */
  public void setAddress(Optional<String> newAddress) {
    if (!address.equals(newAddress)) {
      address = newAddress;
      reachable = false;
      clear();
    }
  }

  /**
   * Address of the store.
   *
   * @return host and port, if there is a store
   */
  public Optional<String> address() {
    return address;
  }

  /**
   * The store answers, or does not.
   *
   * @param answers whether it does
   */
  public void setReachable(boolean answers) {
    reachable = answers;
  }

  /**
   * Tells whether the store answers.
   *
   * @return whether it does
   */
  public boolean isReachable() {
    return address.isPresent() && reachable;
  }

  /** The store lost everything. */
  public void clear() {
    storedPrefixes.clear();
    saveStartNanos.clear();
  }

  /**
   * Hash of a prefix in the store.
   *
   * @param cacheText text under which engines cache it
   * @param lastPart identity of its last part
   * @return the hash
   */
  public static long key(String cacheText, String lastPart) {
    return RendezvousHash.mix(RendezvousHash.hash(cacheText) ^ RendezvousHash.hash(lastPart));
  }

  /**
   * The store keeps a prefix.
   *
   * @param key hash of the prefix
   */
  public void markStored(long key) {
    storedPrefixes.put(key, true);
    saveStartNanos.remove(key);
  }

  /**
   * The store dropped a prefix.
   *
   * @param key hash of the prefix
   */
  public void markDropped(long key) {
    storedPrefixes.remove(key);
  }

  /**
   * Where an engine can fetch the prefix of a prompt.
   *
   * @param prompt the prompt
   * @param cacheText text under which it is cached
   * @return address of the store, if it is known to keep the prefix
   */
  public Optional<String> fetchAddress(Prompt prompt, String cacheText) {
    if (!isReachable() || !isWorthSaving(prompt)) {
      return Optional.empty();
    }
    return storedPrefixes.containsKey(key(prompt, cacheText)) ? address : Optional.empty();
  }

  /**
   * Where an engine should save the prompt once it has read it.
   *
   * @param prompt the prompt
   * @param cacheText text under which it is cached
   * @param nowNanos current time
   * @return address of the store, if it lacks the prefix and nobody is known to save it
   */
  public Optional<String> tryStartSave(Prompt prompt, String cacheText, long nowNanos) {
    if (!isReachable() || !isWorthSaving(prompt)) {
      return Optional.empty();
    }
    long key = key(prompt, cacheText);
    Long since = saveStartNanos.get(key);
    if (storedPrefixes.containsKey(key) || since != null && nowNanos - since < SAVE_TIMEOUT_NANOS) {
      return Optional.empty();
    }
    saveStartNanos.put(key, nowNanos);
    return address;
  }

  private static boolean isWorthSaving(Prompt prompt) {
    int shared = prompt.sharedTokens();
    return shared >= MIN_PREFIX_TOKENS && shared >= MIN_PREFIX_SHARE * prompt.tokens();
  }

  /**
   * Hash of a prompt's shared prefix in the store.
   *
   * @param prompt a prompt with a shared prefix
   * @param cacheText text under which engines cache it
   * @return the hash
   */
  public static long key(Prompt prompt, String cacheText) {
    List<PromptPart> parts = prompt.parts();
    return key(cacheText, parts.get(parts.size() - 2).id());
  }

  private static <V> Map<Long, V> boundedMap() {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<Long, V> eldest) {
        return size() > MAX_PREFIXES;
      }
    };
  }
}
