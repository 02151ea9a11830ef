package org.pollenrock.core.settings;

import java.util.Comparator;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.model.BackendServerId;
import org.pollenrock.core.model.CustomerId;
import org.pollenrock.core.model.ModelId;
import org.pollenrock.core.model.RequestKind;

/**
 * The shared settings of one revision, typed and checked.
 *
 * @param root values for all requests
 * @param kinds kinds of requests by name
 * @param customers customers by name
 * @param models models by name
 * @param services plain services by name
 * @param servers backend servers by name
 * @param apiKeys whom each API key identifies
 */
public record SettingsTree(
    SettingsValues root,
    NameTable<KindSettings> kinds,
    NameTable<CustomerSettings> customers,
    NameTable<ModelSettings> models,
    NameTable<ServiceSettings> services,
    NameTable<ServerSettings> servers,
    ApiKeyIndex apiKeys) {
  /** The tree before the first accepted change. */
  public static final SettingsTree EMPTY =
      new SettingsTree(
          SettingsValues.NONE,
          NameTable.empty(),
          NameTable.empty(),
          NameTable.empty(),
          NameTable.empty(),
          NameTable.empty(),
          ApiKeyIndex.EMPTY);

  /** Checks that all parts are present. */
  public SettingsTree {
    Objects.requireNonNull(root, "root");
    Objects.requireNonNull(kinds, "kinds");
    Objects.requireNonNull(customers, "customers");
    Objects.requireNonNull(models, "models");
    Objects.requireNonNull(services, "services");
    Objects.requireNonNull(servers, "servers");
    Objects.requireNonNull(apiKeys, "apiKeys");
  }

  /** The tree without its customers, for the digest of the other sections. */
  SettingsTree withoutCustomers() {
    return new SettingsTree(
        root, kinds, NameTable.empty(), models, services, servers, ApiKeyIndex.EMPTY);
  }

  /**
   * Finds whom an API key identifies.
   *
   * @param hash hash of the key that a caller presents
   * @return customer and caller, when the key is known
   */
  public Optional<ApiKeyOwner> ownerOf(ApiKeyHash hash) {
    return apiKeys.find(hash);
  }

  /**
   * Settings of a customer.
   *
   * @param customer the customer
   * @return its settings, when the tree names it
   */
  public Optional<CustomerSettings> customer(CustomerId customer) {
    return customers.find(customer.value());
  }

  /**
   * Settings of a model.
   *
   * @param model the model
   * @return its settings, when the tree names it
   */
  public Optional<ModelSettings> model(ModelId model) {
    return models.find(model.value());
  }

  /**
   * Settings of a backend server.
   *
   * @param server the server
   * @return its settings, or the default when the tree does not name it
   */
  public ServerSettings server(BackendServerId server) {
    return servers.find(server.value()).orElse(ServerSettings.DEFAULT);
  }

  /**
   * Finds the plain service of a request path. The longest prefix wins.
   *
   * @param requestPath the path without query
   * @return name and settings of the service, when one has a prefix of the path
   */
  public Optional<Map.Entry<String, ServiceSettings>> serviceOf(String requestPath) {
    return services.names().stream()
        .map(name -> Map.entry(name, services.find(name).orElseThrow()))
        .filter(entry -> entry.getValue().serves(requestPath))
        .max(Comparator.comparingInt(entry -> entry.getValue().path().length()));
  }

  /**
   * Decides the kind of a request: the header when it names a kind, otherwise the match with the
   * most conditions, and among equals the first by name.
   *
   * @param request what is known of the request
   * @return its kind, or empty when it is of none
   */
  public Optional<RequestKind> kindOf(RequestTraits request) {
    if (request.header().filter(kinds::contains).isPresent()) {
      return request.header().map(RequestKind::new);
    }
    String best = null;
    int conditions = 0;
    for (String name : kinds.names()) {
      KindMatch match = kinds.find(name).orElseThrow().match();
      if (match.conditions() > conditions && match.matches(request)) {
        best = name;
        conditions = match.conditions();
      }
    }
    return Optional.ofNullable(best).map(RequestKind::new);
  }
}
