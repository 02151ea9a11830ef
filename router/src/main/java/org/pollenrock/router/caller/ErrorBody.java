package org.pollenrock.router.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.pollenrock.core.error.Peer;
import org.pollenrock.core.error.RequestError;

/** JSON form of errors, as callers receive them. */
public final class ErrorBody {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int CLIENT_ERROR_LIMIT = 500;

  private ErrorBody() {}

  /**
   * Writes an error.
   *
   * @param error the error
   * @return UTF-8 JSON
   */
  public static byte[] of(RequestError error) {
    ObjectNode root = MAPPER.createObjectNode();
    ObjectNode node = root.putObject("error");
    node.put("message", error.message());
    node.put("type", type(error));
    node.put("code", error.code().wireName());
    node.put("step", error.step().name().toLowerCase(Locale.ROOT));
    node.put("peer", error.peer().map(ErrorBody::peerName).orElse(null));
    node.put("run", error.runState().wireName());
    try {
      return MAPPER.writeValueAsBytes(root);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree of strings is always writable", e);
    }
  }

  /**
   * Writes an error as the last event of a stream.
   *
   * @param error the error
   * @return UTF-8 event
   */
  public static byte[] event(RequestError error) {
    String json = new String(of(error), StandardCharsets.UTF_8);
    return ("event: error\ndata: " + json + "\n\n").getBytes(StandardCharsets.UTF_8);
  }

  private static String type(RequestError error) {
    return error.code().httpStatus() < CLIENT_ERROR_LIMIT
        ? "invalid_request_error"
        : "server_error";
  }

  private static String peerName(Peer peer) {
    return peer.kind().name().toLowerCase(Locale.ROOT) + ":" + peer.name();
  }
}
