import java.nio.file.Path;
import java.util.List;

/**
 * Two cases of WALL around a new configuration. {@code isolate}: it makes a tenant isolated whose
 * requests have shared their parts before. {@code names}: it adds two isolated tenants whose names
 * differ in a letter that is not ASCII.
 */
public final class IsolationCase {
  private IsolationCase() {}

  /**
   * Plays a case.
   *
   * @param arguments the case, its folder and a folder for temporary files
   */
  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path directory = Path.of(arguments[2]);
    int status = 2;
    try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
      List<String> breaches =
          arguments[0].equals("isolate")
              ? isolate(trouble, directory, record)
              : names(trouble, directory, record);
      breaches.forEach(record::say);
      record.say(breaches.isEmpty() ? "the rule held" : "WALL is broken");
      status = breaches.isEmpty() ? 0 : 1;
    } catch (Exception e) {
      System.err.println("the case could not run: " + e);
    }
    System.exit(status);
  }

  private static List<String> isolate(boolean trouble, Path directory, Record record)
      throws Exception {
    Deployment.Tenant a = new Deployment.Tenant("sese880", false);
    Deployment.Tenant b = new Deployment.Tenant("tuva412", false);
    Deployment deployment = new Deployment(directory, record, List.of(a, b));
    try {
      deployment.ask("a1", a);
      deployment.ask("b1", b);
      deployment.configure(List.of(new Deployment.Tenant(a.name(), trouble), b));
      Thread.sleep(2 * Deployment.CONFIG_APPLY_MILLIS);
      deployment.ask("a2", a);
      deployment.ask("b2", b);
      deployment.ask("b3", b);
      return deployment.breaches(List.of("a2", "b2", "b3"));
    } finally {
      deployment.close();
    }
  }

  private static List<String> names(boolean trouble, Path directory, Record record)
      throws Exception {
    Deployment.Tenant a = new Deployment.Tenant("sese880", true);
    Deployment.Tenant b = new Deployment.Tenant(trouble ? "tu\u015fa" : "tusa", true);
    Deployment.Tenant c = new Deployment.Tenant(trouble ? "tu\u011fa" : "tuga", true);
    Deployment deployment = new Deployment(directory, record, List.of(a));
    try {
      deployment.ask("a1", a);
      deployment.configure(List.of(a, b, c));
      Thread.sleep(2 * Deployment.CONFIG_APPLY_MILLIS);
      deployment.ask("b1", b);
      deployment.ask("c1", c);
      return deployment.breaches(List.of("b1", "c1"));
    } finally {
      deployment.close();
    }
  }
}
