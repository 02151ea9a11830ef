package org.pollenrock.adapters.engine;

/**
 * Receives the events of one attempt, in order, on one event loop.
 *
 * <p>{@link #onEnd} or {@link #onFailure} is called exactly once, unless the attempt was cancelled.
 */
public interface EngineListener {
  /**
   * The engine accepted the request.
   *
   * @param head status and identity, to be verified before anything is relayed
   */
  void onHead(EngineHead head);

  /**
   * The next event of a streamed answer.
   *
   * @param event the event
   */
  void onEvent(SseEvent event);

  /**
   * The whole body of an answer that is not streamed.
   *
   * @param body the body
   */
  void onBody(byte[] body);

  /** The answer ended as HTTP demands; a stream is complete only when its end marker was seen. */
  void onEnd();

  /**
   * The attempt failed.
   *
   * @param failure why
   */
  void onFailure(EngineFailure failure);
}
