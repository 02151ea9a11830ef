package org.pollenrock.ctl.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import picocli.CommandLine.Option;

/** How a command reaches the operators' listener of a router. */
public final class RouterOptions {
  private static final int OK = 200;

  @Option(
      names = "--router",
      required = true,
      paramLabel = "ADDRESS",
      description = "Operators' listener of a router: IP address and port, or a URL.")
  private String address;

  @Option(
      names = "--timeout",
      paramLabel = "DURATION",
      converter = DurationConverter.class,
      defaultValue = "5s",
      description = "Time after which the call has failed (default: ${DEFAULT-VALUE}).")
  private Duration timeout;

  /** Reads a JSON page of the router. */
  JsonNode get(String path) throws CommandFailure, InterruptedException {
    URI url = Urls.parse(address).resolve(path);
    try (HttpClient http = HttpClient.newBuilder().connectTimeout(timeout).build()) {
      HttpRequest request = HttpRequest.newBuilder(url).timeout(timeout).build();
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      if (response.statusCode() != OK) {
        throw new CommandFailure(
            CommandFailure.NEGATIVE, "the router answered " + response.statusCode());
      }
      return new ObjectMapper().readTree(response.body());
    } catch (IOException e) {
      throw new CommandFailure(CommandFailure.UNREACHABLE, "the router at " + url + ": " + e);
    }
  }
}
