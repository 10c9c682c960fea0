#!/usr/bin/env bash
# usage_test.sh PROGRAM: guards against a script that takes a usage error for a
# refusal, and against a command without --help or without its exit codes.
set -u
Program=$1
Failures=0

expectCode() { # CODE ARGUMENT...
  local Expected=$1 Code
  shift
  "$Program" "$@" >/dev/null 2>&1
  Code=$?
  if [ "$Code" -ne "$Expected" ]; then
    echo "cassiashed $*: exit code $Code, expected $Expected"
    Failures=$((Failures + 1))
  fi
}

expectCode 0 --help
expectCode 0 version
expectCode 2
expectCode 2 unknown
expectCode 2 apply
expectCode 2 apply file --platform localhost:80
expectCode 2 apply file --unknown
expectCode 2 zone sideways a --platform 127.0.0.1:1
expectCode 2 zone out --platform 127.0.0.1:1
expectCode 2 drain
expectCode 2 status --node 127.0.0.1:1
expectCode 1 check /nonexistent
expectCode 2 check /nonexistent --host-memory-mb many
expectCode 1 node --settings /nonexistent
expectCode 2 explain
expectCode 1 explain id /nonexistent
expectCode 1 gateway --settings /nonexistent
for Command in node gateway apply check explain status zone drain version; do
  expectCode 0 "$Command" --help
  "$Program" "$Command" --help | grep -q 'Exit codes: 0 success, 1 refused' || {
    echo "cassiashed $Command --help does not state the exit codes"
    Failures=$((Failures + 1))
  }
done
exit "$Failures"
