# Builds the workspace when a source file is newer than the last build; sourced by the other scripts.

BUILD_MARK=bench/target/built

build_when_needed() {
  if [ -f "$BUILD_MARK" ] && [ -z "$(find pom.xml ./*/pom.xml ./*/src/main -newer "$BUILD_MARK" -type f -print -quit)" ]; then
    return 0
  fi
  require_maven || exit 2
  echo "building (the first time takes a minute)" >&2
  local log
  log=$(mktemp)
  if ! mvn -q package -DskipTests >"$log" 2>&1; then
    cat "$log" >&2
    rm -f "$log"
    exit 2
  fi
  rm -f "$log"
  touch "$BUILD_MARK"
}

# Class path of the experiment tools: every module's classes and the copied libraries.
bench_class_path() {
  local path="" module
  for module in core protocol settings adapters router standin bench; do
    path=$path$module/target/classes:
  done
  echo "${path}bench/target/lib/*"
}
