package org.pollenrock.bench.cluster;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.pollenrock.bench.drive.TraceClient;
import org.pollenrock.bench.workload.Deployment;
import org.pollenrock.core.settings.SettingsTree;
import org.pollenrock.settings.ReadResult;
import org.pollenrock.settings.SettingsReader;

/** Settings tree of a deployment in an experiment. */
public final class DeploymentTree {
  private static final int LARGE_CUSTOMERS = 2;

  private DeploymentTree() {}

  /**
   * Makes the tree.
   *
   * @param deployment the deployment
   * @return the checked tree
   */
  public static SettingsTree of(Deployment deployment) {
    ReadResult<SettingsTree> read =
        SettingsReader.readTree(deployment.name() + ".yaml", yaml(deployment));
    return switch (read) {
      case ReadResult.Valid<SettingsTree>(SettingsTree tree) -> tree;
      case ReadResult.Invalid<SettingsTree>(var errors) ->
          throw new IllegalStateException("settings of the experiment are invalid: " + errors);
    };
  }

  private static String yaml(Deployment deployment) {
    boolean weighsLatency = deployment.name().equals("chama");
    StringBuilder yaml = new StringBuilder();
    yaml.append("root:\n  deadline: 60s\n  placement:\n    ttft-weight: 1\n");
    yaml.append("    hit-weight: ").append(weighsLatency ? "0.2" : "0.5").append('\n');
    yaml.append("kinds:\n");
    yaml.append("  short:\n    match:\n      models: [assistant]\n      max-tokens-at-most: 8\n");
    yaml.append("    priority: urgent\n");
    yaml.append("customers:\n");
    for (int i = 0; i < deployment.customers(); i++) {
      yaml.append("  customer-").append(i).append(":\n");
      yaml.append("    weight: ").append(i < LARGE_CUSTOMERS ? 4 : 1).append('\n');
      yaml.append("    callers:\n      desk: {}\n    api-keys:\n      \"");
      yaml.append(sha256(TraceClient.apiKey(i))).append("\": desk\n");
    }
    yaml.append("models:\n  assistant:\n    version: ").append(Deployment.VERSION).append('\n');
    yaml.append("    rollout:\n      max-concurrent-loads: ");
    yaml.append(deployment.unslowedLoads()).append('\n');
    yaml.append("services:\n  ").append(deployment.plainService()).append(":\n");
    yaml.append("    path: /").append(deployment.plainService()).append('\n');
    yaml.append("    backend: ").append(deployment.plainService()).append('\n');
    yaml.append("    rules:\n      - {method: GET, path: /**, idempotent: true}\n");
    yaml.append("      - {method: POST, path: /postings, idempotent: false}\n");
    return yaml.toString();
  }

  private static String sha256(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the JDK has no SHA-256", e);
    }
  }
}
