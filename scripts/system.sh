# Functions that start the whole system on loopback, each part in a process of its
# own, and stop it cleanly. Sourced by run.sh and measure.sh.
#
# ENGINE_FLAGS are extra flags of the engine stand-ins, TRIAL_RATE is the
# organisation's limit in requests per second, BASE_PORT (21000 if unset) is the
# number that is added to each port number below.

bin=$PWD/bin/boragehub
trial=$PWD/bin/trial
work=$(mktemp -d)
base=${BASE_PORT:-21000}
key=trial-key-of-the-desk-agents
pids=()
names=()
export BORAGEHUB_LOG="http://127.0.0.1:$((base + 1))" BORAGEHUB_VMS="http://127.0.0.1:$((base + 2))"
export BORAGEHUB_KEYS="$work/keys" BORAGEHUB_AUTHOR=trial

stop_all() {
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do kill -TERM "${pids[i]}" 2>/dev/null || true; done
  for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
  pids=()
}

fail() {
  echo "run: $1" >&2
  for n in "${names[@]}"; do echo "--- last lines of $n" >&2; tail -n 5 "$work/$n.log" >&2; done
  stop_all
  echo "run: the logs are in $work" >&2
  exit 1
}
trap 'fail "interrupted"' INT TERM

start() { # start NAME COMMAND...: starts a process in the background, with its output in $work/NAME.log
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

wait_for() { # wait_for URL: waits until it responds with status 200
  for _ in $(seq 150); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  fail "$1 did not become ready"
}

# stop NAME: terminates one process by its id and checks that it exited with status 0.
stop() {
  local i
  for i in "${!names[@]}"; do
    if [ "${names[i]}" = "$1" ]; then
      kill -TERM "${pids[i]}"
      wait "${pids[i]}" || fail "$1 did not stop cleanly (status $?)"
      unset "pids[i]" "names[i]"
      pids=("${pids[@]}")
      names=("${names[@]}")
      return
    fi
  done
}

address() { echo "127.0.0.1:$((base + $1))"; }

process() { # process ROLE VM DATA_CENTRE PORT [SERVICE KIND TARGET]: writes its settings file
  cat >"$work/$2.toml" <<EOF
role = "$1"
vm = "$2"
data_centre = "$3"
site = "bc-south"

[listen]
peers = "$(address "$4")"
operators = "$(address $(($4 + 1)))"
EOF
  if [ "$1" = entry ]; then echo "callers = \"$(address $(($4 + 2)))\"" >>"$work/$2.toml"; fi
  cat >>"$work/$2.toml" <<EOF

[platform]
log_url = "http://$(address 1)"
vm_list_url = "http://$(address 2)"

[tls]
ca_file = "$work/keys/ca.pem"
certificate_file = "$work/keys/$2.pem"
key_file = "$work/keys/$2.key"

[limits]
balancer_grace = "200ms"
drain_timeout = "10s"
EOF
  if [ "$1" = side ]; then
    cat >>"$work/$2.toml" <<EOF

[target]
service = "$5"
kind = "$6"
url = "http://$7"
EOF
  fi
}

line() { # line VM DATA_CENTRE KIND SERVICE ADDRESS SIDE_ADDRESS: prints its entry of the VM list
  printf '{"vm":"%s","data_centre":"%s","kind":"%s","service":"%s","address":"%s","side_address":"%s","state":"live"}' "$@"
}

start_system() {
  echo "Writing keys, settings and the VM list to $work"
  "$bin" ctl keys --directory "$work/keys" -p entry-1:entry -p entry-2:entry -p engine-1:side -p engine-2:side -p booking-1:side -p operator:operator >/dev/null

  cat >"$work/vms.json" <<EOF
[$(line entry-1 yvr-east entry "" "$(address 102)" "$(address 100)"),
 $(line entry-2 burnaby-a entry "" "$(address 112)" "$(address 110)"),
 $(line engine-1 yvr-east engine boragehub-llm "$(address 20)" "$(address 120)"),
 $(line engine-2 burnaby-a engine boragehub-llm "$(address 21)" "$(address 130)"),
 $(line booking-1 yvr-east plain booking-api "$(address 22)" "$(address 140)"),
 $(line prompt-vault yvr-east store "" "$(address 30)" ""),
 $(line prompt-vault-b burnaby-a store "" "$(address 31)" "")]
EOF

  process entry entry-1 yvr-east 100
  process entry entry-2 burnaby-a 110
  process side engine-1 yvr-east 120 boragehub-llm engine "$(address 20)"
  process side engine-2 burnaby-a 130 boragehub-llm engine "$(address 21)"
  process side booking-1 yvr-east 140 booking-api plain "$(address 22)"

  sed "s/@HASH@/$(printf %s "$key" | sha256sum | cut -d' ' -f1)/; s/@RATE@/${TRIAL_RATE:-50.0}/" scripts/trial.toml >"$work/settings.toml"

  echo "Starting the platform and target stand-ins and the system: 13 processes"
  start log "$bin" standin log --listen "$(address 1)"
  start vms "$bin" standin vms --listen "$(address 2)" --file "$work/vms.json"
  start weights "$bin" standin weights --listen "$(address 3)"
  start engine-1-target "$bin" standin engine --listen "$(address 20)" --model shuttle-8b --weight-version v1 --weights "http://$(address 3)" ${ENGINE_FLAGS:-}
  start engine-2-target "$bin" standin engine --listen "$(address 21)" --model shuttle-8b --weight-version v1 --weights "http://$(address 3)" ${ENGINE_FLAGS:-}
  start booking-1-target "$bin" standin plain --listen "$(address 22)" --service booking-api --vm booking-1
  start prompt-vault "$bin" standin store --listen "$(address 30)"
  start prompt-vault-b "$bin" standin store --listen "$(address 31)"
  for port in 1 2 3 20 21 22 30 31; do wait_for "http://$(address $port)/healthz"; done

  start engine-1 "$bin" side --settings "$work/engine-1.toml"
  start engine-2 "$bin" side --settings "$work/engine-2.toml"
  start booking-1 "$bin" side --settings "$work/booking-1.toml"
  start entry-1 "$bin" entry --settings "$work/entry-1.toml"
  start entry-2 "$bin" entry --settings "$work/entry-2.toml"
  for port in 101 111 121 131 141; do wait_for "http://$(address $port)/healthz"; done

  echo "Publishing the settings"
  "$bin" ctl config publish "$work/settings.toml" --wait 10s || fail "could not publish the settings"
  for port in 101 111 121 131 141; do wait_for "http://$(address $port)/readyz"; done
}
