package org.pollenrock.router.task;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.pollenrock.core.limits.LimitDimension;
import org.pollenrock.core.limits.LimitKey;
import org.pollenrock.core.limits.LimitScope;
import org.pollenrock.core.limits.LoanId;
import org.pollenrock.core.limits.LoanMessage;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.Incarnation;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.core.model.RequestKind;
import org.pollenrock.protocol.generated.LoanGrant;
import org.pollenrock.protocol.generated.LoanRequest;
import org.pollenrock.protocol.generated.LoanReturn;
import org.pollenrock.protocol.generated.PeerFrame;

/**
 * Loan messages on the wire.
 *
 * <p>The opaque field {@code limit} holds lines: borrower, its incarnation, round, dimension,
 * customer, caller, kind, and whether a refused loan is unknown. A grant of 0 is a refusal.
 */
final class LoanWire {
  private static final int LINES = 8;

  private LoanWire() {}

  static PeerFrame toWire(LoanMessage message) {
    return switch (message) {
      case LoanMessage.Request request ->
          PeerFrame.newBuilder()
              .setLoanRequest(
                  LoanRequest.newBuilder()
                      .setLimit(lines(request, request.round(), false))
                      .setLoan(request.id().counter())
                      .setAmount(request.amount()))
              .build();
      case LoanMessage.Grant grant ->
          grant(grant, lines(grant, grant.round(), false), grant.amount());
      case LoanMessage.Refusal refusal ->
          grant(refusal, lines(refusal, refusal.round(), refusal.loanUnknown()), 0);
      case LoanMessage.Return returned ->
          PeerFrame.newBuilder()
              .setLoanReturn(
                  LoanReturn.newBuilder()
                      .setLimit(lines(returned, 0, false))
                      .setLoan(returned.id().counter()))
              .build();
    };
  }

  private static PeerFrame grant(LoanMessage message, ByteString lines, long amount) {
    return PeerFrame.newBuilder()
        .setLoanGrant(
            LoanGrant.newBuilder()
                .setLimit(lines)
                .setLoan(message.id().counter())
                .setAmount(amount))
        .build();
  }

  private static ByteString lines(LoanMessage message, long round, boolean unknown) {
    LimitScope scope = message.key().scope();
    return ByteString.copyFromUtf8(
        String.join(
            "\n",
            message.id().borrower().value(),
            Long.toString(message.id().incarnation().value()),
            Long.toString(round),
            message.key().dimension().name(),
            scope.customer().value(),
            scope.caller().map(CallerId::value).orElse(""),
            scope.kind().map(RequestKind::value).orElse(""),
            Boolean.toString(unknown)));
  }

  /** Reads a message; a frame of another kind or form is empty. */
  static Optional<LoanMessage> fromWire(PeerFrame frame) {
    try {
      return switch (frame.getMessageCase()) {
        case LOAN_REQUEST -> request(frame.getLoanRequest());
        case LOAN_GRANT -> grant(frame.getLoanGrant());
        case LOAN_RETURN -> returned(frame.getLoanReturn());
        default -> Optional.empty();
      };
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<LoanMessage> request(LoanRequest wire) {
    return read(wire.getLimit(), wire.getLoan())
        .map(
            loan ->
                new LoanMessage.Request(loan.id, loan.key, (long) wire.getAmount(), loan.round));
  }

  private static Optional<LoanMessage> grant(LoanGrant wire) {
    long amount = (long) wire.getAmount();
    return read(wire.getLimit(), wire.getLoan())
        .map(
            loan ->
                amount > 0
                    ? new LoanMessage.Grant(loan.id, loan.key, amount, loan.round)
                    : new LoanMessage.Refusal(loan.id, loan.key, loan.round, loan.unknown));
  }

  private static Optional<LoanMessage> returned(LoanReturn wire) {
    return read(wire.getLimit(), wire.getLoan())
        .map(loan -> new LoanMessage.Return(loan.id, loan.key));
  }

  private record Loan(LoanId id, LimitKey key, long round, boolean unknown) {}

  private static Optional<Loan> read(ByteString limit, long counter) {
    List<String> lines = List.of(limit.toStringUtf8().split("\n", -1));
    if (lines.size() != LINES) {
      return Optional.empty();
    }
    LoanId id =
        new LoanId(
            new InstanceId(lines.get(0)), new Incarnation(Long.parseLong(lines.get(1))), counter);
    LimitScope scope =
        new LimitScope(
            new CustomerId(lines.get(4)),
            Optional.of(lines.get(5)).filter(name -> !name.isEmpty()).map(CallerId::new),
            Optional.of(lines.get(6)).filter(name -> !name.isEmpty()).map(RequestKind::new));
    LimitKey key = new LimitKey(scope, LimitDimension.valueOf(lines.get(3)));
    return Optional.of(
        new Loan(id, key, Long.parseLong(lines.get(2)), Boolean.parseBoolean(lines.get(7))));
  }
}
