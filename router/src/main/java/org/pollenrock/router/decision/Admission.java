package org.pollenrock.router.decision;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.pollenrock.core.limits.AdmissionDecision;
import org.pollenrock.core.limits.AdmissionQueue;
import org.pollenrock.core.limits.AdmissionRequest;
import org.pollenrock.core.limits.AdmissionSettings;
import org.pollenrock.core.limits.LimitDecision;
import org.pollenrock.core.limits.LimitHold;
import org.pollenrock.core.limits.LimitKey;
import org.pollenrock.core.limits.LimitTable;
import org.pollenrock.core.limits.ShareSource;
import org.pollenrock.core.model.ModelId;

/** Limits and slots of all requests; confined to the decision thread. */
final class Admission {
  /** Slots of a model whose servers have not reported yet. */
  private static final int INITIAL_SLOTS = 64;

  /**
   * Slots of this router as a multiple of its equal share of the engines' slots: traffic does not
   * arrive in equal parts, and an engine with a short queue of its own never idles.
   */
  private static final double OVERSUBSCRIPTION = 1.5;

  private static final int URGENT_RESERVE = 2;
  private static final int IDLE_LIMIT_ENTRIES = 10_000;
  private static final long INITIAL_SERVICE_NANOS = 500_000_000L;

  private final LimitTable limits;
  private final AdmissionSettings settings;
  private final Map<ModelId, AdmissionQueue> queues = new HashMap<>();
  private final Map<Long, Entry> entries = new HashMap<>();
  private Consumer<LimitKey> whenExceeded = key -> {};

  private static final class Entry {
    private final LimitHold hold;
    private final Optional<ModelId> model;
    private final Consumer<AdmitAnswer> reply;
    private boolean dispatched;

    Entry(LimitHold hold, Optional<ModelId> model, Consumer<AdmitAnswer> reply) {
      this.hold = hold;
      this.model = model;
      this.reply = reply;
    }
  }

  Admission(ShareSource shares, int maxQueued, int maxQueuedPerCustomer) {
    this.limits = new LimitTable(shares, IDLE_LIMIT_ENTRIES);
    this.settings =
        new AdmissionSettings(
            URGENT_RESERVE, maxQueuedPerCustomer, maxQueued, INITIAL_SERVICE_NANOS);
  }

  /** Sets the slots that the accepting servers of a model have in all. */
  void engineSlots(ModelId model, int slots, int routers) {
    int share = (int) Math.ceil(slots * OVERSUBSCRIPTION / Math.max(1, routers));
    queue(model).setSlots(slots == 0 ? INITIAL_SLOTS : share);
  }

  void admit(long ticket, AdmitRequest request, Consumer<AdmitAnswer> reply, long nowNanos) {
    switch (limits.acquire(request.values().limits(), request.promptTokens(), nowNanos)) {
      case LimitDecision.Exceeded exceeded -> {
        whenExceeded.accept(exceeded.key());
        reply.accept(new AdmitAnswer.Refused(exceeded.refusal(), exceeded.retryAfterNanos()));
      }
      case LimitDecision.Granted(LimitHold hold) -> {
        Entry entry = new Entry(hold, request.model(), reply);
        entries.put(ticket, entry);
        if (request.model().isEmpty()) {
          entry.dispatched = true;
          reply.accept(new AdmitAnswer.Admitted());
          return;
        }
        offer(ticket, request, nowNanos);
      }
    }
  }

  private void offer(long ticket, AdmitRequest request, long nowNanos) {
    AdmissionQueue queue = queue(request.model().orElseThrow());
    AdmissionDecision first =
        queue.offer(
            new AdmissionRequest(
                ticket,
                request.customer(),
                request.values().effective().weight(),
                request.values().effective().priority(),
                Math.max(1, request.promptTokens()),
                0,
                request.deadlineNanos()),
            nowNanos);
    apply(first, nowNanos);
    queue.poll(nowNanos).forEach(decision -> apply(decision, nowNanos));
  }

  /** Sets who hears of limits that are used up. */
  void whenExceeded(Consumer<LimitKey> listener) {
    whenExceeded = listener;
  }

  long demand(LimitKey key, long nowNanos) {
    return limits.demand(key, nowNanos);
  }

  /** Ends a request: frees what it holds, or takes it out of the queue. */
  void release(long ticket, boolean ran, long nowNanos) {
    Entry entry = entries.remove(ticket);
    if (entry == null) {
      return;
    }
    if (ran) {
      limits.release(entry.hold, nowNanos);
    } else {
      limits.cancel(entry.hold, nowNanos);
    }
    entry.model.ifPresent(
        model -> {
          AdmissionQueue queue = queue(model);
          if (entry.dispatched) {
            queue.finish(ticket, nowNanos);
          } else {
            queue.cancel(ticket);
          }
          queue.poll(nowNanos).forEach(decision -> apply(decision, nowNanos));
        });
  }

  /** Decides about waiting requests whose time has come. */
  void tick(long nowNanos) {
    for (AdmissionQueue queue : List.copyOf(queues.values())) {
      queue.poll(nowNanos).forEach(decision -> apply(decision, nowNanos));
    }
  }

  int waiting() {
    return queues.values().stream().mapToInt(AdmissionQueue::waitingCount).sum();
  }

  int running() {
    return queues.values().stream().mapToInt(AdmissionQueue::runningCount).sum();
  }

  private AdmissionQueue queue(ModelId model) {
    return queues.computeIfAbsent(model, name -> new AdmissionQueue(settings, INITIAL_SLOTS));
  }

  private void apply(AdmissionDecision decision, long nowNanos) {
    switch (decision) {
      case AdmissionDecision.Queue queued -> {
        // A later decision follows.
      }
      case AdmissionDecision.Dispatch(long id) -> {
        Entry entry = entries.get(id);
        entry.dispatched = true;
        entry.reply.accept(new AdmitAnswer.Admitted());
      }
      case AdmissionDecision.Refuse(long id, var refusal) -> {
        Entry entry = entries.remove(id);
        limits.cancel(entry.hold, nowNanos);
        entry.reply.accept(new AdmitAnswer.Refused(refusal, 0));
      }
    }
  }
}
