#!/usr/bin/env bash
# Measures what entries and side processes use while no requests come:
#
#   docs/measures/idle.sh PROGRAM ENTRIES TARGETS [SECONDS]
#
# Starts the log, the VM list, the entries, and for each target a stand-in engine
# and a side process; waits until all are ready, watches for SECONDS (30) and
# prints processor time and memory of each role as a mean over its processes.
# Ends what it started, by process id. ENTRIES + 2 * TARGETS + 2 processes.
# WARM is how many seconds pass before it watches (40), ORGANISATIONS how many
# organisations the settings name besides (0), BASE_PORT the first port.
set -euo pipefail

bin=$1 entries=$2 targets=$3 seconds=${4:-30}
work=$(mktemp -d)
base=${BASE_PORT:-24000}
export BORAGEHUB_LOG="http://127.0.0.1:$((base + 1))" BORAGEHUB_VMS="http://127.0.0.1:$((base + 2))"
export BORAGEHUB_KEYS="$work/keys" BORAGEHUB_AUTHOR=trial
pids=()
entry_pids=()
side_pids=()

stop_all() {
  kill -TERM "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

start() { # start NAME COMMAND...
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

wait_for() { # wait_for URL: until it answers 200
  for _ in $(seq 300); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "$1 does not become ready" >&2
  exit 1
}

at() { echo "127.0.0.1:$((base + $1))"; }

settings() { # settings ROLE VM PORT [TARGET_PORT]
  cat <<TOML
role = "$1"
vm = "$2"
data_centre = "yvr-east"
site = "bc-south"
[listen]
peers = "$(at "$3")"
operators = "$(at $(($3 + 1)))"
TOML
  if [ "$1" = entry ]; then echo "callers = \"$(at $(($3 + 2)))\""; fi
  cat <<TOML
[platform]
log_url = "http://$(at 1)"
vm_list_url = "http://$(at 2)"
[tls]
ca_file = "$work/keys/ca.pem"
certificate_file = "$work/keys/$2.pem"
key_file = "$work/keys/$2.key"
[limits]
balancer_grace = "200ms"
drain_timeout = "2s"
TOML
  if [ "$1" = side ]; then
    printf '[target]\nservice = "boragehub-llm"\nkind = "engine"\nurl = "http://%s"\n' "$(at "$4")"
  fi
}

keys=(-p operator:operator)
rows=()
for ((i = 0; i < entries; i++)); do
  keys+=(-p "entry-$i:entry")
  settings entry "entry-$i" $((1000 + 4 * i)) >"$work/entry-$i.toml"
  rows+=("{\"vm\":\"entry-$i\",\"data_centre\":\"yvr-east\",\"kind\":\"entry\",\"service\":\"\",\"address\":\"$(at $((1002 + 4 * i)))\",\"side_address\":\"$(at $((1000 + 4 * i)))\",\"state\":\"live\"}")
done
for ((i = 0; i < targets; i++)); do
  keys+=(-p "engine-$i:side")
  settings side "engine-$i" $((2000 + 4 * i)) $((2002 + 4 * i)) >"$work/engine-$i.toml"
  rows+=("{\"vm\":\"engine-$i\",\"data_centre\":\"yvr-east\",\"kind\":\"engine\",\"service\":\"boragehub-llm\",\"address\":\"$(at $((2002 + 4 * i)))\",\"side_address\":\"$(at $((2000 + 4 * i)))\",\"state\":\"live\"}")
done

"$bin" ctl keys --directory "$work/keys" "${keys[@]}" >/dev/null
(IFS=,; echo "[${rows[*]}]") >"$work/vms.json"
sed -e "s/@HASH@/$(printf trial | sha256sum | cut -d' ' -f1)/" -e 's/@RATE@/1000/' "$(dirname "$0")/../../scripts/trial.toml" >"$work/settings.toml"

for ((i = 0; i < ${ORGANISATIONS:-0}; i++)); do
  printf '\n[[organisation]]\nname = "organisation-%d"\nkeys = ["sha256:%064x"]\n' "$i" "$((i + 1))"
done >"$work/more.toml"
# Tables of the whole tree come before those of sites.
awk -v more="$work/more.toml" '/^\[site/ && !done { while ((getline line < more) > 0) print line; print ""; done = 1 } { print }' \
  "$work/settings.toml" >"$work/all.toml"

start log "$bin" standin log --listen "$(at 1)"
start vms "$bin" standin vms --listen "$(at 2)" --file "$work/vms.json"
wait_for "http://$(at 1)/healthz"
wait_for "http://$(at 2)/healthz"
for ((i = 0; i < targets; i++)); do
  start "target-$i" "$bin" standin engine --listen "$(at $((2002 + 4 * i)))" --model shuttle-8b --weight-version v1
  start "side-$i" "$bin" side --settings "$work/engine-$i.toml"
  side_pids+=("${pids[-1]}")
done
for ((i = 0; i < entries; i++)); do
  start "entry-$i" "$bin" entry --settings "$work/entry-$i.toml"
  entry_pids+=("${pids[-1]}")
done
for ((i = 0; i < entries; i++)); do wait_for "http://$(at $((1001 + 4 * i)))/healthz"; done
"$bin" ctl config publish "$work/all.toml" >/dev/null
for ((i = 0; i < entries; i++)); do wait_for "http://$(at $((1001 + 4 * i)))/readyz"; done

ticks() { # sum of user and system ticks of the processes
  local sum=0 p
  for p in "$@"; do sum=$((sum + $(awk '{print $14 + $15}' "/proc/$p/stat"))); done
  echo "$sum"
}

memory() { # mean resident megabytes
  for p in "$@"; do awk '/VmRSS/ {print $2}' "/proc/$p/status"; done | awk '{s += $1} END {printf "%.1f", s / NR / 1024}'
}

sleep "${WARM:-40}"
entry_before=$(ticks "${entry_pids[@]}")
side_before=$(ticks "${side_pids[@]}")
sleep "$seconds"
entry_after=$(ticks "${entry_pids[@]}")
side_after=$(ticks "${side_pids[@]}")

awk -v e="$entries" -v t="$targets" -v s="$seconds" -v hz="$(getconf CLK_TCK)" \
  -v ec=$((entry_after - entry_before)) -v sc=$((side_after - side_before)) \
  -v em="$(memory "${entry_pids[@]}")" -v sm="$(memory "${side_pids[@]}")" \
  'BEGIN { printf "entries=%d targets=%d: an entry uses %.2f%% of a core and %s MB, a side process %.2f%% and %s MB\n", e, t, 100 * ec / hz / s / e, em, 100 * sc / hz / s / t, sm }'
