package org.pollenrock.router;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.pollenrock.core.model.CallerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.Priority;
import org.pollenrock.core.model.WeightsVersion;
import org.pollenrock.router.settings.CallerIdentity;
import org.pollenrock.router.settings.RequestValues;
import org.pollenrock.router.settings.RouterSettings;
import org.pollenrock.router.settings.ServiceRoute;

/** Settings with one customer, one model and one service. */
record TestSettings(long revision, Duration deadline) implements RouterSettings {
  static final String KEY = "key-1";
  static final String MODEL = "model-a";
  static final String VERSION = "v1";

  @Override
  public Optional<CallerIdentity> identify(String apiKey) {
    return apiKey.equals(KEY)
        ? Optional.of(new CallerIdentity(new CustomerId("customer-1"), new CallerId("caller-1")))
        : Optional.empty();
  }

  @Override
  public RequestValues values(CallerIdentity caller, Traits traits) {
    return new RequestValues(Optional.empty(), Priority.INTERACTIVE, deadline, 3, 4096);
  }

  @Override
  public Optional<WeightsVersion> model(ModelId model) {
    return model.value().equals(MODEL)
        ? Optional.of(new WeightsVersion(VERSION))
        : Optional.empty();
  }

  @Override
  public List<ModelId> models() {
    return List.of(new ModelId(MODEL));
  }

  @Override
  public Optional<ServiceRoute> service(String method, String path) {
    return path.startsWith("/ledger")
        ? Optional.of(new ServiceRoute("ledger", "ledger", method.equals("GET")))
        : Optional.empty();
  }
}
