package org.fennelstage;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** The core module contains decision logic only: no I/O, threads or system clock. */
@AnalyzeClasses(packages = "org.fennelstage", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

    @ArchTest
    static final ArchRule coreUsesNoNetworkJsonOrProtobuf =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "io.netty..",
                            "com.fasterxml..",
                            "com.google.protobuf..",
                            "java.net..",
                            "java.nio.channels..");

    @ArchTest
    static final ArchRule coreCreatesNoThreads =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .haveNameMatching("java\\.lang\\.Thread|java\\.util\\.concurrent\\.Exec.*");

    @ArchTest
    static final ArchRule coreReadsNoSystemClock =
            noClasses()
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime");

    @ArchTest
    static final ArchRule idsDependOnNoDomainPackage =
            noClasses()
                    .that()
                    .resideInAPackage("org.fennelstage.id")
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.fennelstage.profile..",
                            "org.fennelstage.model..",
                            "org.fennelstage.rollout..",
                            "org.fennelstage.configuration..");

    @ArchTest
    static final ArchRule decisionPackagesHaveNoCycles =
            slices().matching("org.fennelstage.(backend|rollout|member|claim|bill|limit|request)..")
                    .should()
                    .beFreeOfCycles();
}
