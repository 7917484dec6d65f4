#!/usr/bin/env bash
# Runs a case: run-case.sh CASE RECORD. Ends all processes that it started.
set -uo pipefail
case=$1
record=$2
cd "$(dirname "$0")/../.."
program=target/review/release/review_support
if [ ! -x "$program" ] || [ ! -x target/release/wisteriaford_platform ]; then
    echo "not built: run the build of the deploy file and review/build.sh" >&2
    exit 2
fi
directory=$(mktemp -d)
finish() {
    if [ -f "$directory/pids" ]; then
        while read -r pid; do
            if [ "$(tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -c wisteriaford_platform)" -gt 0 ]; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done <"$directory/pids"
    fi
    if [ -n "${KEEP_LOGS:-}" ]; then
        cp "$directory"/*.log "$KEEP_LOGS" 2>/dev/null
    fi
    rm -rf "$directory"
}
trap finish EXIT
"$program" "$case" "$record" "$directory"
status=$?
case $status in
0 | 1) exit $status ;;
*) exit 2 ;;
esac
