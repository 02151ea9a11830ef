package org.pollenrock.standin.engine;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletionStage;

/** Fetches weights from a weight store over HTTP. */
public final class HttpWeightLoader implements WeightLoader {
  private final HttpClient client;
  private final String storeAddress;

  /**
   * Makes a loader.
   *
   * @param client the HTTP client to use
   * @param storeAddress IP number and port of the weight store
   */
  public HttpWeightLoader(HttpClient client, String storeAddress) {
    this.client = client;
    this.storeAddress = storeAddress;
  }

  @Override
  public CompletionStage<Boolean> load(String model, String version) {
    URI uri = URI.create("http://" + storeAddress + "/weights/" + model + "/" + version);
    return client
        .sendAsync(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.discarding())
        .handle((response, failure) -> failure == null && response.statusCode() == 200);
  }
}
