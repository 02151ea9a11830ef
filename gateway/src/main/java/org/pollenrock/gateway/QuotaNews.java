package org.pollenrock.gateway;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.pollenrock.core.limits.QuotaMessage;
import org.pollenrock.protocol.generated.FleetNews;
import org.pollenrock.protocol.generated.LoanGrant;
import org.pollenrock.protocol.generated.LoanRequest;

/** Encodes transfers of quotas as the loan messages of the routers, in gossip messages. */
final class QuotaNews {
  private QuotaNews() {}

  /** Encodes a message. */
  static FleetNews.Builder encode(QuotaMessage message) {
    ByteString customer = ByteString.copyFromUtf8(message.customer());
    return switch (message) {
      case QuotaMessage.Request request ->
          FleetNews.newBuilder()
              .addQuotaRequests(
                  LoanRequest.newBuilder()
                      .setLimit(customer)
                      .setLoan(request.id())
                      .setAmount(request.amount()));
      case QuotaMessage.Grant grant ->
          FleetNews.newBuilder()
              .addQuotaGrants(
                  LoanGrant.newBuilder()
                      .setLimit(customer)
                      .setLoan(grant.id())
                      .setAmount(grant.amount()));
    };
  }

  /**
   * Returns the messages that gossip contains.
   *
   * @throws InvalidProtocolBufferException if one has an invalid amount
   */
  static List<QuotaMessage> decode(FleetNews news) throws InvalidProtocolBufferException {
    if (news.getQuotaRequestsCount() + news.getQuotaGrantsCount() == 0) {
      return List.of();
    }
    List<QuotaMessage> messages = new ArrayList<>();
    for (LoanRequest request : news.getQuotaRequestsList()) {
      messages.add(
          new QuotaMessage.Request(
              request.getLimit().toStringUtf8(),
              request.getLoan(),
              requireValid(request.getAmount())));
    }
    for (LoanGrant grant : news.getQuotaGrantsList()) {
      messages.add(
          new QuotaMessage.Grant(
              grant.getLimit().toStringUtf8(), grant.getLoan(), requireValid(grant.getAmount())));
    }
    return messages;
  }

  private static double requireValid(double amount) throws InvalidProtocolBufferException {
    if (!(amount >= 0) || !Double.isFinite(amount)) {
      throw new InvalidProtocolBufferException("amount of a quota: " + amount);
    }
    return amount;
  }
}
