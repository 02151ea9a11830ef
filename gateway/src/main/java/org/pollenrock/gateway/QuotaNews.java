package org.pollenrock.gateway;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import com.google.protobuf.UnknownFieldSet;
import java.util.ArrayList;
import java.util.List;
import org.pollenrock.core.limits.QuotaMessage;
import org.pollenrock.protocol.generated.FleetNews;
import org.pollenrock.protocol.generated.LoanGrant;
import org.pollenrock.protocol.generated.LoanRequest;

/**
 * Encodes transfers of quotas as the loan messages of the routers, in gossip messages.
 *
 * <p>They are fields that {@link FleetNews} does not declare, since the two files of messages do
 * not know each other.
 */
final class QuotaNews {
  private static final int REQUESTS_FIELD = 17;
  private static final int GRANTS_FIELD = 18;

  private QuotaNews() {}

  /** Encodes a message. */
  static FleetNews.Builder encode(QuotaMessage message) {
    ByteString customer = ByteString.copyFromUtf8(message.customer());
    return switch (message) {
      case QuotaMessage.Request request ->
          news(
              REQUESTS_FIELD,
              LoanRequest.newBuilder()
                  .setLimit(customer)
                  .setLoan(request.id())
                  .setAmount(request.amount())
                  .build());
      case QuotaMessage.Grant grant ->
          news(
              GRANTS_FIELD,
              LoanGrant.newBuilder()
                  .setLimit(customer)
                  .setLoan(grant.id())
                  .setAmount(grant.amount())
                  .build());
    };
  }

  /**
   * Returns the messages that gossip contains.
   *
   * @throws InvalidProtocolBufferException if one cannot be read or has an invalid amount
   */
  static List<QuotaMessage> decode(FleetNews news) throws InvalidProtocolBufferException {
    UnknownFieldSet fields = news.getUnknownFields();
    if (!fields.hasField(REQUESTS_FIELD) && !fields.hasField(GRANTS_FIELD)) {
      return List.of();
    }
    List<QuotaMessage> messages = new ArrayList<>();
    for (ByteString bytes : fields.getField(REQUESTS_FIELD).getLengthDelimitedList()) {
      LoanRequest request = LoanRequest.parseFrom(bytes);
      String customer = request.getLimit().toStringUtf8();
      double amount = requireValid(request.getAmount());
      messages.add(new QuotaMessage.Request(customer, request.getLoan(), amount));
    }
    for (ByteString bytes : fields.getField(GRANTS_FIELD).getLengthDelimitedList()) {
      LoanGrant grant = LoanGrant.parseFrom(bytes);
      String customer = grant.getLimit().toStringUtf8();
      double amount = requireValid(grant.getAmount());
      messages.add(new QuotaMessage.Grant(customer, grant.getLoan(), amount));
    }
    return messages;
  }

  private static FleetNews.Builder news(int number, MessageLite message) {
    UnknownFieldSet.Field field =
        UnknownFieldSet.Field.newBuilder().addLengthDelimited(message.toByteString()).build();
    return FleetNews.newBuilder()
        .setUnknownFields(UnknownFieldSet.newBuilder().addField(number, field).build());
  }

  private static double requireValid(double amount) throws InvalidProtocolBufferException {
    if (!(amount >= 0) || !Double.isFinite(amount)) {
      throw new InvalidProtocolBufferException("amount of a quota: " + amount);
    }
    return amount;
  }
}
