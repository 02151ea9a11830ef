# Sets JAVA_HOME and PATH to a JDK of release 21 or newer; sourced by the other scripts.

MINIMUM_JDK=21

# Prints the feature release of the JDK at $1, or nothing when there is none.
jdk_release() {
  [ -x "$1/bin/javac" ] || return 0
  "$1/bin/javac" -version 2>&1 | sed -n 's/^javac \([0-9]*\).*/\1/p'
}

select_jdk() {
  local candidate release path_home=""
  if command -v javac >/dev/null 2>&1; then
    path_home=$(dirname "$(dirname "$(readlink -f "$(command -v javac)")")")
  fi
  for candidate in "${JAVA_HOME:-}" "$path_home" /usr/lib/jvm/*; do
    [ -n "$candidate" ] || continue
    release=$(jdk_release "$candidate")
    if [ -n "$release" ] && [ "$release" -ge "$MINIMUM_JDK" ]; then
      export JAVA_HOME=$candidate
      export PATH=$JAVA_HOME/bin:$PATH
      return 0
    fi
  done
  echo "missing: a JDK of release $MINIMUM_JDK or newer (set JAVA_HOME to one)" >&2
  return 1
}

require_maven() {
  command -v mvn >/dev/null 2>&1 && return 0
  echo "missing: Apache Maven (mvn) on the PATH" >&2
  return 1
}

select_jdk || exit 2
