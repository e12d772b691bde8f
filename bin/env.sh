# Shared by the scripts in this folder: finds the JDK and builds what is missing.
# Sourced, never run.

ORCHIDMOUNT_ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
REQUIRED_JAVA=25

java_major() {
    "$1/bin/java" -XshowSettings:properties -version 2>&1 |
        sed -n 's/^ *java\.specification\.version = \([0-9]*\).*/\1/p'
}

find_jdk() {
    local home
    for home in "${ORCHIDMOUNT_JAVA_HOME:-}" "${JAVA_HOME:-}" /usr/lib/jvm/*25* /opt/*jdk*25* \
        "$HOME"/.sdkman/candidates/java/25* /Library/Java/JavaVirtualMachines/*25*/Contents/Home; do
        [ -n "$home" ] && [ -x "$home/bin/javac" ] || continue
        [ "$(java_major "$home")" = "$REQUIRED_JAVA" ] || continue
        echo "$home"
        return 0
    done
    return 1
}

require_jdk() {
    if ! JAVA_HOME="$(find_jdk)"; then
        echo "orchidmount: no JDK $REQUIRED_JAVA found." >&2
        echo "Install one (for example Temurin $REQUIRED_JAVA) and set ORCHIDMOUNT_JAVA_HOME to its folder." >&2
        exit 69
    fi
    export JAVA_HOME
}

# Keeps Maven's own libraries from warning about interfaces that newer JDKs retire.
export MAVEN_OPTS="--sun-misc-unsafe-memory-access=allow --enable-native-access=ALL-UNNAMED ${MAVEN_OPTS:-}"

require_maven() {
    command -v mvn >/dev/null 2>&1 && return 0
    echo "orchidmount: Maven (mvn) is not on the PATH. Install Apache Maven 3.8 or newer." >&2
    exit 69
}

maven() {
    require_maven
    # Standard output belongs to the program that is started afterwards.
    (cd "$ORCHIDMOUNT_ROOT" && mvn -B -q -Dstyle.color=never "$@") >&2
}

# Builds the runnable jars when they are missing or older than a source file.
build_if_needed() {
    local stamp="$ORCHIDMOUNT_ROOT/org.orchidmount.bench/target/built.stamp"
    if [ -f "$stamp" ] && [ -z "$(find "$ORCHIDMOUNT_ROOT" -name target -prune -o \
        \( -path '*/src/main/*' -o -name pom.xml \) -type f -newer "$stamp" -print -quit)" ]; then
        return 0
    fi
    echo "orchidmount: building" >&2
    maven -DskipTests package -pl org.orchidmount.bench -am || exit 70
    touch "$stamp"
}

runtime_classpath() {
    local target="$ORCHIDMOUNT_ROOT/org.orchidmount.bench/target"
    echo "$target/classes:$target/lib/*"
}

# run_java MAIN_CLASS ARG...: replaces this shell by the program.
run_java() {
    local main="$1"
    shift
    # shellcheck disable=SC2086
    exec "$JAVA_HOME/bin/java" -XX:+UseSerialGC -XX:TieredStopAtLevel="${ORCHIDMOUNT_TIER:-4}" \
        --enable-native-access=ALL-UNNAMED --sun-misc-unsafe-memory-access=allow \
        ${ORCHIDMOUNT_JAVA_OPTS:-} -cp "$(runtime_classpath)" "$main" "$@"
}
