package org.pollenrock.gateway;

import org.pollenrock.core.dispatch.ServiceQueues;
import org.pollenrock.core.dispatch.WaitingWork;
import org.pollenrock.core.model.InstanceId;
import org.pollenrock.protocol.generated.FleetNews;
import org.pollenrock.protocol.generated.QueuedWork;

/**
 * Announces the work that waits at this instance, and applies what others announce of theirs.
 *
 * <p>Nothing is announced while nothing waits; what was announced before expires.
 */
final class WaitingNews implements NewsPart {
  private final ServiceQueues queues;

  WaitingNews(ServiceQueues queues) {
    this.queues = queues;
  }

  @Override
  public void addNews(FleetNews.Builder message, long nowNanos) {
    for (WaitingWork waiting : queues.waitingWork(nowNanos)) {
      message.addWaiting(
          QueuedWork.newBuilder()
              .setService(waiting.service())
              .setUrgency(waiting.urgency())
              .setWork(waiting.work())
              .setWorkPerSecond(waiting.workPerSecond()));
    }
  }

  @Override
  public void apply(FleetNews message, InstanceId sender, long nowNanos) {
    for (QueuedWork waiting : message.getWaitingList()) {
      queues.applyPeerWaiting(
          sender.value(),
          new WaitingWork(
              waiting.getService(),
              waiting.getUrgency(),
              waiting.getWork(),
              waiting.getWorkPerSecond()),
          nowNanos);
    }
  }
}
