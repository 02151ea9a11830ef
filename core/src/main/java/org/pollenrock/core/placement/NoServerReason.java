package org.pollenrock.core.placement;

/** Why no server can take a request. */
public enum NoServerReason {
  /** No known server reports the model. */
  MODEL_NOT_SERVED,
  /** Servers with the model exist, but none accepts new work. */
  NONE_ACCEPTING,
  /** No accepting server has the adapter loaded. */
  ADAPTER_NOT_LOADED,
  /** No accepting server serves the required weights version. */
  WEIGHTS_NOT_SERVED,
  /** Every suitable server is excluded by the request. */
  ALL_EXCLUDED
}
