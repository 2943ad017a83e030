#!/usr/bin/env bash
# Starts the whole system on loopback, each part a process of its own, shows the
# main job on it and stops it in order. Exits 0 only if each step was seen.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/system.sh

start_system

"$trial" --entry "http://$(address 102)" --entry "http://$(address 112)" \
  --engine "http://$(address 20)" --engine "http://$(address 21)" \
  --store "http://$(address 30)" --store "http://$(address 31)" --key "$key" --workload curb |
  tee "$work/trial.out" || fail "a step was not seen"

# The continuation is step 4; its request is named in the line that follows.
request=$(sed -n '/^4\. /{n;s/.*request \([^:]*\):.*/\1/p}' "$work/trial.out")
echo
echo "The fleet, by ctl fleet"
"$bin" ctl fleet || fail "the fleet was not shown"
echo
echo "The decisions that led to the continuation's answer, by ctl explain $request"
"$bin" ctl explain "$request" | cut -c1-260 || fail "the continuation was not explained"
echo
for e in route_decided call_decided copy_parked copy_imported; do
  grep -q "\"$e\"" "$work"/*.log || fail "no line $e was logged"
done

echo "A target is drained by a published change, and taken back"
"$bin" ctl drain engine-2 --reason "trial" || fail "engine-2 was not drained"
"$bin" ctl config wait --patience 10s || fail "the drain is not in force everywhere"
"$bin" ctl fleet | grep -E "^engine-2 .*draining" || fail "engine-2 is not shown as draining"
"$bin" ctl undrain engine-2 || fail "engine-2 was not taken back"
echo

echo "Stopping in order"
for n in entry-1 entry-2 engine-1 engine-2 booking-1; do stop "$n"; done
stop_all
rm -rf "$work"
echo "Each step was seen."
