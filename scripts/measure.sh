#!/usr/bin/env bash
# Measures the overhead of the system: runs the same load directly against an
# engine stand-in and through an entry and a side process, with 1, 64 and 512
# concurrent streams. Then measures the processor time and memory of the idle
# processes.
#
# STREAMS is the list of stream counts, ROUNDS the number of requests per stream
# (with one stream always 100), PROFILE the stream count at which to write
# processor profiles of entry-1 and engine-1 to tmp-entry.prof and tmp-side.prof.
set -euo pipefail
cd "$(dirname "$0")/.."
# The engines decode 200 tokens a second for each stream, so that many streams are
# open at once without saturating the machine; prefill takes almost no time.
export ENGINE_FLAGS="--prefill 1000000000 --decode 200 --max-running 4096 --cache-blocks 200000" TRIAL_RATE=100000.0
source scripts/system.sh
measure=$PWD/bin/measure

pid_of() {
  local i
  for i in "${!names[@]}"; do if [ "${names[i]}" = "$1" ]; then echo "${pids[i]}"; fi; done
}

start_system >/dev/null

for streams in ${STREAMS:-1 64 512}; do
  requests=$((streams == 1 ? 100 : streams * ${ROUNDS:-10}))
  "$measure" --name direct --url "http://$(address 20)" --key "$key" --streams $streams --requests $requests --tokens 32
  if [ -n "${PROFILE:-}" ] && [ $streams = "$PROFILE" ]; then
    curl -s -o "$PWD/tmp-entry.prof" "http://$(address 101)/debug/pprof/profile?seconds=3" &
    curl -s -o "$PWD/tmp-side.prof" "http://$(address 121)/debug/pprof/profile?seconds=3" &
  fi
  "$measure" --name entry --url "http://$(address 102)" --key "$key" --streams $streams --requests $requests --tokens 32 \
    --pid "entry=$(pid_of entry-1)" --pid "side-1=$(pid_of engine-1)" --pid "side-2=$(pid_of engine-2)"
done

idle=10
for name in entry-1 engine-1 booking-1; do
  p=$(pid_of $name)
  before=$(awk '{print $14 + $15}' "/proc/$p/stat")
  sleep $idle
  after=$(awk '{print $14 + $15}' "/proc/$p/stat")
  memory=$(awk '/VmRSS/ {print $2}' "/proc/$p/status")
  echo "idle $name: $(((after - before) * 10 * 1000 / idle / 1000)) ms of processor time per second, $memory KiB resident"
done

for n in entry-1 entry-2 engine-1 engine-2 booking-1; do stop "$n"; done
stop_all
rm -rf "$work"
