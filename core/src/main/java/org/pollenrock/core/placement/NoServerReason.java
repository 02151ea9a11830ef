package org.pollenrock.core.placement;

/** Reason why no server can serve a request. */
public enum NoServerReason {
  /** No known server reports the model. */
  MODEL_NOT_SERVED,
  /** Servers report the model, but none of them accepts new requests. */
  NONE_ACCEPTING,
  /** No accepting server has the adapter loaded. */
  ADAPTER_NOT_LOADED,
  /** No accepting server serves the required weights version. */
  WEIGHTS_NOT_SERVED,
  /** The request excludes every server that could serve it. */
  ALL_EXCLUDED
}
