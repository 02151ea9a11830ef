package org.pollenrock.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import java.util.Optional;
import java.util.OptionalInt;
import org.pollenrock.core.dispatch.DispatchRequest;
import org.pollenrock.core.dispatch.Prompt;
import org.pollenrock.core.quarantine.RequestFingerprint;
import org.pollenrock.core.route.CustomerAccess;
import org.pollenrock.core.route.Route;

/** Converts requests of callers to what server selection depends on. */
final class CallerRequests {
  private CallerRequests() {}

  /**
   * Converts a request.
   *
   * @param head head of the request
   * @param body body of the request, which must not be released while the result is in use
   * @param metadata metadata of the request
   * @param route its route
   * @param customerAccess its customer, if it has one
   * @param arrivedNanos time at which it had been read
   * @param limitMillis time after which a response is useless to the caller
   * @return the converted request
   */
  static DispatchRequest toDispatchRequest(
      HttpRequest head,
      ByteBuf body,
      CallerRequestMetadata metadata,
      Route route,
      Optional<CustomerAccess> customerAccess,
      long arrivedNanos,
      long limitMillis) {
    Optional<String> customer = customerAccess.map(CustomerAccess::name);
    return new DispatchRequest(
        metadata.id(),
        route.serviceFor(metadata.id()),
        Optional.empty(),
        route.prefixAffinity() ? metadata.prompt() : Optional.empty(),
        Optional.of(new RequestFingerprint(customer.orElse(""), head.uri(), body::nioBuffer)),
        customer,
        route.urgency(
            customerAccess.map(CustomerAccess::priority).orElse(OptionalInt.empty()),
            metadata.prompt().map(Prompt::tokens).orElse(0)),
        route.isRepeatable(),
        route.targetLatencyMillis(),
        arrivedNanos,
        arrivedNanos + limitMillis * 1_000_000);
  }
}
