package org.pollenrock.ctl.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import org.pollenrock.core.settings.LogRecord;

/** Reads and appends records of one stream of the log service over HTTP. */
public final class LogClient implements AutoCloseable {
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int MAX_SUCCESS = 299;
  private static final int BAD_REQUEST = 400;
  private static final int SERVER_ERROR = 500;

  private final HttpClient http;
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
    this.http =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
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
    HttpResponse<String> response = send(request, true);
    int status = response.statusCode();
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
    HttpResponse<String> response = send(request, false);
    if (response.statusCode() != OK && response.statusCode() != GONE) {
      throw new LogException("the log answered " + response.statusCode(), false);
    }
    JsonNode body = parse(response.body(), false);
    long head = body.path("head").longValue();
    return response.statusCode() == GONE
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

  private HttpResponse<String> send(HttpRequest request, boolean append)
      throws LogException, InterruptedException {
    try {
      return http.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (ConnectException e) {
      throw new LogException(
          "the log at " + records.getAuthority() + " refused the connection", false);
    } catch (IOException e) {
      throw new LogException("the log at " + records.getAuthority() + ": " + e, append);
    }
  }

  private JsonNode parse(String body, boolean append) throws LogException {
    try {
      return json.readTree(body);
    } catch (JsonProcessingException e) {
      throw new LogException("the log's answer is not JSON", append);
    }
  }

  @Override
  public void close() {
    http.shutdownNow();
  }
}
