#!/usr/bin/env bash
# Starts the whole system on loopback, each part in a process of its own, runs the
# steps of cmd/trial on it, drains a target and stops all processes cleanly. Exits
# with 0 only if every step succeeded.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/system.sh

start_system

"$trial" --entry "http://$(address 102)" --entry "http://$(address 112)" \
  --engine "http://$(address 20)" --engine "http://$(address 21)" \
  --store "http://$(address 30)" --store "http://$(address 31)" --key "$key" --workload curb |
  tee "$work/trial.out" || fail "a step of the trial failed"

# Step 4 of the trial continues a conversation; the line after it contains the request ID.
request=$(sed -n '/^4\. /{n;s/.*request \([^:]*\):.*/\1/p}' "$work/trial.out")
echo
echo "State of the fleet (ctl fleet)"
"$bin" ctl fleet || fail "ctl fleet failed"
echo
echo "Decisions about the request of step 4 (ctl explain $request)"
"$bin" ctl explain "$request" | cut -c1-260 || fail "ctl explain failed for the request of step 4"
echo
for e in route_decided call_decided copy_parked copy_imported; do
  grep -q "\"$e\"" "$work"/*.log || fail "no event $e was logged"
done

echo "Draining a target by a published settings change, then returning it to service"
"$bin" ctl drain engine-2 --reason "trial" || fail "could not drain engine-2"
"$bin" ctl config wait --patience 10s || fail "the drain is not in force in all processes"
"$bin" ctl fleet | grep -E "^engine-2 .*draining" || fail "engine-2 is not shown as draining"
"$bin" ctl undrain engine-2 || fail "could not return engine-2 to service"
echo

echo "Stopping all processes"
for n in entry-1 entry-2 engine-1 engine-2 booking-1; do stop "$n"; done
stop_all
rm -rf "$work"
echo "Each step was seen."
