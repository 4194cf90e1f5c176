# Functions that start and end a fleet of real processes on loopback: three
# control VMs, some entry VMs and backend servers in the data centres north and
# south. Sourced by scripts/demo and scripts/run_process_scenario, from the
# root of the repository.
#
#   fleet_folder=$(mktemp -d build/demo.XXXXXX)
#   fleet_prepare 2 1      # entry VMs in north and in south
#   trap fleet_end EXIT
#   fleet_start
#
# $fleet_program, if set, is the program that the VMs run, such as one that
# scripts/build_version has built.
#
# Every process has a name; its process id is in $fleet_folder/NAME.pid.

ip=127.0.0.1
sockets_per_entry=5  # listen, backend, peer, admin, metrics

fail() {
  echo "$0: $1" >&2
  exit 1
}

# Selects free ports and writes the settings file of every VM.
fleet_prepare() {  # Entry VMs in north, entry VMs in south.
  north_entries=$1
  entry_count=$(($1 + $2))
  ports=$(build/standin_ports $((entry_count * sockets_per_entry + 6 + 8)))
  control_list="$(control_address 1),$(control_address 2),$(control_address 3)"
  export VANILLALATCH_CONTROL="$control_list"
  for it in 1 2 3; do
    mkdir -p "$fleet_folder/control-$it.data"
    write_control $it
  done
  for it in $(seq "$entry_count"); do
    write_entry "$it"
  done
  build/vanillalatch check "$fleet_folder"/*.json >&2
}

fleet_port() {
  echo "$ports" | sed -n "$1p"
}
entry_port() {  # VM, socket 1 to 5.
  fleet_port $((($1 - 1) * sockets_per_entry + $2))
}
control_port() {  # VM, socket 1 (gRPC) or 2 (metrics).
  fleet_port $((entry_count * sockets_per_entry + ($1 - 1) * 2 + $2))
}
backend_port() {  # 1 to 8.
  fleet_port $((entry_count * sockets_per_entry + 6 + $1))
}
control_address() {
  echo "$ip:$(control_port "$1" 1)"
}
control_data_center() {
  [ "$1" = 3 ] && echo south || echo north
}
entry_data_center() {
  [ "$1" -gt "$north_entries" ] && echo south || echo north
}

write_control() {
  cat >"$fleet_folder/control-$1.json" <<END
{
  "vm": "control-$1",
  "data_center": "$(control_data_center "$1")",
  "control": {
    "listen": "$(control_address "$1")",
    "data_folder": "$fleet_folder/control-$1.data",
    "voters": [
      {"vm": "control-1", "address": "$(control_address 1)", "data_center": "north"},
      {"vm": "control-2", "address": "$(control_address 2)", "data_center": "north"},
      {"vm": "control-3", "address": "$(control_address 3)", "data_center": "south"}
    ]
  },
  "log": {"file": "$fleet_folder/control-$1.log"},
  "metrics": "$ip:$(control_port "$1" 2)"
}
END
}

# Prints the peer addresses of the first two entry VMs of the data centre of
# entry VM $1, as the elements of a JSON list.
entry_seeds() {
  first=1
  [ "$1" -gt "$north_entries" ] && first=$((north_entries + 1))
  seeds="\"$ip:$(entry_port "$first" 3)\""
  second=$((first + 1))
  if [ "$second" -le "$entry_count" ] &&
    [ "$(entry_data_center "$first")" = "$(entry_data_center "$second")" ]; then
    seeds="$seeds, \"$ip:$(entry_port "$second" 3)\""
  fi
  echo "$seeds"
}

write_entry() {
  cat >"$fleet_folder/entry-$1.json" <<END
{
  "vm": "entry-$1",
  "data_center": "$(entry_data_center "$1")",
  "entry": {
    "listen": "$ip:$(entry_port "$1" 1)",
    "backend": "$ip:$(entry_port "$1" 2)",
    "peer": "$ip:$(entry_port "$1" 3)",
    "admin": "$ip:$(entry_port "$1" 4)",
    "seeds": [$(entry_seeds "$1")],
    "control": ["$(control_address 1)", "$(control_address 2)", "$(control_address 3)"]
  },
  "log": {"file": "$fleet_folder/entry-$1.log"},
  "trace_file": "$fleet_folder/entry-$1.traces",
  "metrics": "$ip:$(entry_port "$1" 5)"
}
END
}

# Starts a program in the background. Its output goes to a file of its name.
spawn() {  # Name, command...
  name=$1
  shift
  "$@" >"$fleet_folder/$name.out" 2>&1 &
  echo $! >"$fleet_folder/$name.pid"
}
pid_of() {
  cat "$fleet_folder/$1.pid"
}
# The program of a VM: the one that `replace` has set, else $fleet_program.
program_of() {
  cat "$fleet_folder/$1.program" 2>/dev/null ||
    echo "${fleet_program:-build/vanillalatch}"
}
serve() {
  # Read by vanillalatch_recorded alone.
  DISK_RECORD_OF="$fleet_folder/$1.data" DISK_RECORD="$fleet_folder/$1.record" \
    spawn "$1" "$(program_of "$1")" serve --config "$fleet_folder/$1.json"
}

# Waits up to 20 seconds until the text $1 is in at least $2 lines of
# `ctl status --json`.
wait_for() {
  n=0
  until [ "$(build/vanillalatch ctl status --json 2>/dev/null |
    grep -c "$1")" -ge "$2" ]; do
    n=$((n + 1))
    [ $n -lt 100 ] || fail "no $2 of $1 in the status after 20 s"
    sleep 0.2
  done
}

# Prints "--entry ADDRESS" for every entry VM of a data centre. The backend
# servers and callers of the data centre use only these entry VMs.
entries_of() {  # Data centre, socket.
  for it in $(seq "$entry_count"); do
    if [ "$(entry_data_center "$it")" = "$1" ]; then
      echo "--entry $ip:$(entry_port "$it" "$2")"
    fi
  done
}

start_backend() {  # Name, service, data centre, port number.
  # shellcheck disable=SC2046
  spawn "$1" build/standin_backend --address "$ip:$(backend_port "$4")" \
    --name "$1" --service "$2" --data-center "$3" --slots 3 --mean-us 5000 \
    --seed 1 $(entries_of "$3" 2) --summary "$fleet_folder/$1.backend.json"
}

start_callers() {  # Name, data centre, rate, seconds, seed.
  # shellcheck disable=SC2046
  spawn "$1" build/standin_caller --plan scripts/demo_load.json \
    --data-center "$2" $(entries_of "$2" 1) --rate "$3" --seconds "$4" \
    --seed "$5" --summary "$fleet_folder/$1.callers.json"
}

# Starts the control VMs and the entry VMs, applies the catalog, and starts one
# backend server for each service and data centre.
fleet_start() {
  for it in 1 2 3; do
    serve control-$it
  done
  for it in $(seq "$entry_count"); do
    serve "entry-$it"
  done
  wait_for '"last_sync"' "$entry_count"
  build/vanillalatch ctl apply examples/records/catalog.json --wait >&2
  start_backend records-north records north 1
  start_backend plans-north plans north 2
  start_backend records-south records south 3
  start_backend plans-south plans south 4
  wait_for '"busy_us"' 4
}

# Sends a signal to a named process.
signal() {  # Signal, name.
  kill "-$1" "$(pid_of "$2")"
}

# Waits up to $2 tenths of a second for a named process to end.
wait_end() {
  n=0
  while kill -0 "$(pid_of "$1")" 2>/dev/null; do
    n=$((n + 1))
    [ $n -le "$2" ] || return 1
    sleep 0.1
  done
}

# Stops a process with SIGTERM. It must end within 15 seconds with exit code 0.
stop_gracefully() {
  signal TERM "$1"
  wait_end "$1" 150 || fail "$1 did not stop within 15 s"
  wait "$(pid_of "$1")" || fail "$1 ended with exit code $?"
}

# Ends every process of this fleet by its process id: resumes it, sends SIGTERM,
# and sends SIGKILL if it still runs after 12 seconds.
fleet_end() {
  for it in "$fleet_folder"/*.pid; do
    kill -CONT "$(cat "$it")" 2>/dev/null || true
    kill "$(cat "$it")" 2>/dev/null || true
  done
  for it in "$fleet_folder"/*.pid; do
    wait_end "$(basename "$it" .pid)" 120 ||
      kill -9 "$(cat "$it")" 2>/dev/null || true
  done
}
