package org.pollenrock.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import org.pollenrock.core.fleet.LoadReport;
import org.pollenrock.core.fleet.ServerNotice;
import org.pollenrock.core.ratelimit.RateNotice;

/**
 * Encodes and decodes the metadata in the heads of requests to and responses of backend servers.
 */
public interface ServerProtocol {
  /**
   * Removes the headers that a caller may not set for a server, and adds the metadata of the send.
   *
   * @param headers headers of the request, from which the hop-by-hop headers are already removed
   * @param context metadata for the server
   */
  void prepare(HttpHeaders headers, SendContext context);

  /**
   * Returns the names of the headers that identify a response or its server, each of which a
   * response has at most once.
   *
   * @return the names
   */
  List<String> identifyingHeaders();

  /**
   * Decodes the metadata of a response.
   *
   * @param response head of the response
   * @return the metadata; a field whose header can't be parsed is absent
   */
  ServerResponseMetadata decode(HttpResponse response);

  /**
   * Decodes what a response of any kind tells about further requests to the server.
   *
   * @param status status of the response
   * @param headers headers of the response
   * @return the notice
   */
  ServerNotice decodeNotice(int status, HttpHeaders headers);

  /**
   * Decodes the rate of requests that the server accepts from a response to a probe.
   *
   * @param headers headers of the response
   * @return the limit, if the response names a readable one; a response to a probe does not tell
   *     that there is none
   */
  RateNotice decodeRate(HttpHeaders headers);

  /**
   * Decodes the load that a server reports in a response to a probe.
   *
   * @param headers headers of the response
   * @return the report; empty if there is none or its counts can't be read
   */
  Optional<LoadReport> decodeLoad(HttpHeaders headers);
}
