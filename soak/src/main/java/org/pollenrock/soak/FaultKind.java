package org.pollenrock.soak;

/** What a run does to the processes, their links and their surroundings. */
enum FaultKind {
  /** A gateway stands still for a while. */
  PAUSE_GATEWAY,
  /** A gateway is killed and started again. */
  KILL_GATEWAY,
  /** A gateway is asked to stop, while callers go on using it, and started again. */
  STOP_GATEWAY,
  /** A gateway is told that its settings changed. */
  RELOAD_GATEWAY,
  /** The store refuses every call. */
  STORE_DOWN,
  /** The store carries appends out and loses the answers. */
  STORE_LOSES_ANSWERS,
  /** The store keeps only the newest record of each key. */
  STORE_FORGETS,
  /** One gateway does not reach the store. */
  STORE_LINK_CUT,
  /** A server dies without notice and returns as another incarnation. */
  SERVER_CRASH,
  /** A server says that it drains, leaves and is replaced. */
  SERVER_LEAVES,
  /** A server runs requests and closes connections instead of answering. */
  SERVER_LOSES_ANSWERS,
  /** A server sends answers to other requests before the right ones. */
  SERVER_STRAY_ANSWERS,
  /** Nothing passes between the gateways and a server. */
  SERVER_LINK_CUT,
  /** Requests reach a server, its answers get lost. */
  SERVER_LINK_ONE_WAY,
  /** Open connections to a server go silent. */
  SERVER_LINK_SILENT,
  /** Open connections to a server are closed. */
  SERVER_LINK_RESET,
  /** Bytes to and from a server take long. */
  SERVER_LINK_SLOW,
  /** Open connections of callers to a gateway are closed. */
  CALLER_LINK_RESET,
  /** Open connections of callers to a gateway go silent. */
  CALLER_LINK_SILENT,
  /** The operator writes a new configuration. */
  NEW_CONFIGURATION,
  /** The operator names new weights. */
  NEW_WEIGHTS
}
