package org.pollenrock.core.model;

/** What a backend server does. */
public enum ServerRole {
  /** Serves models with a prefix cache. */
  MODEL_SERVER,
  /** Serves plain calls of one service. */
  PLAIN_SERVER
}
