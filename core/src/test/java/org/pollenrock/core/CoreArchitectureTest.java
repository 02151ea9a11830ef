package org.pollenrock.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import java.time.Clock;
import java.time.Instant;
import java.util.Random;

/**
 * Guards against decisions that cannot be replayed because they read a clock, I/O or randomness.
 */
@AnalyzeClasses(
    packages = "org.pollenrock.core",
    importOptions = ImportOption.DoNotIncludeTests.class)
class CoreArchitectureTest {
  @ArchTest
  static final ArchRule USES_NO_IO_LIBRARY =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.netty..",
              "org.asynchttpclient..",
              "com.google.protobuf..",
              "org.apache.logging..",
              "java.net..",
              "java.nio.channels..",
              "java.nio.file..");

  @ArchTest
  static final ArchRule USES_NO_THREADS =
      noClasses()
          .should()
          .dependOnClassesThat()
          .haveNameMatching("java\\.lang\\.Thread(\\$.*)?")
          .orShould()
          .dependOnClassesThat()
          .resideInAnyPackage("java.util.concurrent..");

  @ArchTest
  static final ArchRule READS_NO_CLOCK =
      noClasses()
          .should()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(Instant.class, "now")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Clock.class);

  @ArchTest
  static final ArchRule DRAWS_NO_RANDOMNESS =
      noClasses()
          .should()
          .callConstructor(Random.class)
          .orShould()
          .callMethod(Math.class, "random")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.util.SplittableRandom");
}
