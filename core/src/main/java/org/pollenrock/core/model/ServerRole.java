package org.pollenrock.core.model;

/** Roles of backend servers. */
public enum ServerRole {
  /** Serves models with a prefix cache. */
  MODEL_SERVER,
  /** Serves calls of one plain service, without a model. */
  PLAIN_SERVER
}
