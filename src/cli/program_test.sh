#!/bin/sh
# Runs the program and checks exit codes and messages.
#
#   program_test.sh build/vanillalatch
set -u
program=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
failures=0

# expect CODE TEXT ARGUMENTS...: runs the program with ARGUMENTS and checks its
# exit code and that its output contains TEXT.
expect() {
  code=$1
  text=$2
  shift 2
  "$program" "$@" >"$folder/out" 2>&1
  got=$?
  if [ $got -ne "$code" ] || ! grep -qF -- "$text" "$folder/out"; then
    echo "FAILED: $* gave exit code $got, expected $code with \"$text\":"
    cat "$folder/out"
    failures=$((failures + 1))
  fi
}

expect 0 "vanillalatch 0" version
expect 0 "Exit codes:" --help
expect 0 "Usage: vanillalatch serve" serve --help
expect 0 "Usage: vanillalatch check" check --help
expect 0 "Usage: vanillalatch ctl" ctl --help
expect 2 "expected a command"
expect 2 "unknown command" nonsense
expect 2 "expected --config" serve
expect 3 "can't be read" serve --config "$folder/missing.json"
expect 3 "can't be read" check "$folder/missing.json"

for it in examples/*/*.json; do
  expect 0 "$it: " check "$it"
done

printf '{\n  "services": [],\n  "weights": 3\n}\n' >"$folder/keys.json"
expect 2 "keys.json:3: weights: expected one of the keys services" \
  check "$folder/keys.json"
printf '{"vm": "one", "data_center": "north"}' >"$folder/role.json"
expect 2 'role.json:1: file: expected "entry", "control" or "flows"' \
  check "$folder/role.json"
printf '{"vm": ' >"$folder/cut.json"
expect 2 "cut.json:1: expected JSON with comments" check "$folder/cut.json"
# Files after one with an error are checked too.
expect 2 "examples/sheets/catalog.json: catalog of 2 services: valid" \
  check "$folder/cut.json" examples/sheets/catalog.json
expect 2 "cut.json:1: " serve --config "$folder/cut.json"

# No process listens on port 1.
expect 5 "no control VM answered" \
  ctl --control 127.0.0.1:1 --timeout 1 get
expect 2 "VANILLALATCH_CONTROL" ctl get
VANILLALATCH_CONTROL=127.0.0.1:1,127.0.0.1:2
export VANILLALATCH_CONTROL
expect 5 "no control VM answered" ctl --timeout 1 status
# A file with an error is refused before any control VM is called.
expect 2 "keys.json:3: weights" ctl apply "$folder/keys.json"

[ $failures -eq 0 ]
