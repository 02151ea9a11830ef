package org.pollenrock.router.settings;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.WeightsVersion;

/** One accepted revision of the settings; immutable, so that a request sees one revision. */
public interface RouterSettings {
  /**
   * The revision.
   *
   * @return position of the accepted change in the log
   */
  long revision();

  /**
   * Finds the owner of an API key.
   *
   * @param apiKey the key as the caller sent it
   * @return the owner, empty for an unknown key
   */
  Optional<CallerIdentity> identify(String apiKey);

  /**
   * Values in force for a request.
   *
   * @param caller who sent it
   * @param traits what is known of it
   * @return the values
   */
  RequestValues values(CallerIdentity caller, Traits traits);

  /**
   * Finds a model.
   *
   * @param model its name
   * @return the version to serve, empty for an unknown model
   */
  Optional<WeightsVersion> model(ModelId model);

  /**
   * Models that callers can name.
   *
   * @return the names in ascending order
   */
  List<ModelId> models();

  /**
   * Finds the plain service for a call.
   *
   * @param method HTTP method
   * @param path request path
   * @return the service, empty when no service has this path
   */
  Optional<ServiceRoute> service(String method, String path);

  /**
   * What is known of a request before its values are looked up.
   *
   * @param kindHeader kind that the caller named
   * @param model model that the caller named
   * @param service plain service
   * @param maxTokens bound on generated tokens
   */
  record Traits(
      Optional<String> kindHeader,
      Optional<String> model,
      Optional<String> service,
      OptionalLong maxTokens) {}
}
