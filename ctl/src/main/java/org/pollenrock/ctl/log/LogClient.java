package org.pollenrock.ctl.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.pollenrock.core.response.HeadCheck;
import org.pollenrock.core.response.HeadFault;
import org.pollenrock.core.settings.LogRecord;

/** Reads and appends records of one stream of the log service over HTTP. */
public final class LogClient {
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int MAX_SUCCESS = 299;
  private static final int BAD_REQUEST = 400;
  private static final int SERVER_ERROR = 500;

  /** Largest body of a response. */
  private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;

  private static final HeadCheck HEADS = new HeadCheck(List.of());

  private final URI records;
  private final Duration timeout;
  private final ObjectMapper json = new ObjectMapper();

  /**
   * Creates a client.
   *
   * @param base address of the log service
   * @param stream name of the stream
   * @param timeout time after which a call has failed, beyond the waiting it asks for
   */
  public LogClient(URI base, String stream, Duration timeout) {
    this.records = base.resolve("/streams/" + stream + "/records");
    this.timeout = Objects.requireNonNull(timeout, "timeout");
  }

  /**
   * Appends a record.
   *
   * @param data its bytes
   * @return its offset
   * @throws LogException when there is no valid response
   * @throws InterruptedException when the thread is interrupted
   */
  public long append(byte[] data) throws LogException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(records)
            .timeout(timeout)
            .header("Content-Type", "application/octet-stream")
            .POST(HttpRequest.BodyPublishers.ofByteArray(data))
            .build();
    Answer response = send(request, true);
    int status = response.status();
    if (status < OK || status > MAX_SUCCESS) {
      boolean refused = status >= BAD_REQUEST && status < SERVER_ERROR;
      throw new LogException("the log answered " + status, !refused);
    }
    JsonNode offset = parse(response.body(), true).path("offset");
    if (!offset.isIntegralNumber()) {
      throw new LogException("the log's answer has no offset", true);
    }
    return offset.longValue();
  }

  /**
   * Reads records.
   *
   * @param from the first offset
   * @param max greatest number of records
   * @param wait how long the log shall wait for a record when there is none
   * @return the records, or where the log now begins
   * @throws LogException when there is no valid response
   * @throws InterruptedException when the thread is interrupted
   */
  public LogPage read(long from, int max, Duration wait) throws LogException, InterruptedException {
    String query = "?from=" + from + "&max=" + max + "&wait_ms=" + wait.toMillis();
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(records + query)).timeout(timeout.plus(wait)).build();
    Answer response = send(request, false);
    if (response.status() != OK && response.status() != GONE) {
      throw new LogException("the log answered " + response.status(), false);
    }
    JsonNode body = parse(response.body(), false);
    long head = body.path("head").longValue();
    return response.status() == GONE
        ? new LogPage.Truncated(body.path("first").longValue(), head)
        : new LogPage.Records(head, records(body.path("records")));
  }

  private List<LogRecord> records(JsonNode array) throws LogException {
    List<LogRecord> parsed = new ArrayList<>();
    for (JsonNode entry : array) {
      try {
        byte[] data = Base64.getDecoder().decode(entry.path("data").asText());
        long time = entry.path("time_ms").longValue();
        parsed.add(new LogRecord(entry.path("offset").longValue(), time, data));
      } catch (IllegalArgumentException e) {
        throw new LogException("the log's answer has a record without valid base64", false);
      }
    }
    return parsed;
  }

  /**
   * Sends a request on a connection of its own, since responses don't name their requests: a late
   * copy of one could not be told from the next one.
   */
  private Answer send(HttpRequest request, boolean append)
      throws LogException, InterruptedException {
    HttpClient http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
    try {
      HttpResponse<InputStream> response =
          http.send(request, HttpResponse.BodyHandlers.ofInputStream());
      checkHead(response, append);
      try (InputStream body = response.body()) {
        byte[] bytes = body.readNBytes(MAX_BODY_BYTES + 1);
        if (bytes.length > MAX_BODY_BYTES) {
          throw new LogException("the log's answer exceeds the limit", append);
        }
        return new Answer(response.statusCode(), new String(bytes, StandardCharsets.UTF_8));
      }
    } catch (ConnectException e) {
      throw new LogException(
          "the log at " + records.getAuthority() + " refused the connection", false);
    } catch (IOException e) {
      throw new LogException("the log at " + records.getAuthority() + ": " + e, append);
    } finally {
      http.shutdownNow();
    }
  }

  private static void checkHead(HttpResponse<?> response, boolean append) throws LogException {
    Optional<HeadFault> fault =
        HEADS.findInFields(
            response.headers().map().entrySet().stream()
                .flatMap(
                    field ->
                        field.getValue().stream().map(value -> Map.entry(field.getKey(), value)))
                .iterator());
    if (fault.isPresent()) {
      throw new LogException("the log's answer has an unsound head: " + fault.get(), append);
    }
  }

  private JsonNode parse(String body, boolean append) throws LogException {
    try {
      return json.readTree(body);
    } catch (JsonProcessingException e) {
      throw new LogException("the log's answer is not JSON", append);
    }
  }

  private record Answer(int status, String body) {}
}
