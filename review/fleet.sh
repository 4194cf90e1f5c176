# Shell functions that start a small deployment on loopback addresses, with the
# program and the settings templates of the deploy file. Sourced by the run.sh
# of a case; the working folder is the root of the repository.
#
# Three control VMs and three entry VMs in three zones, as on the small sites.
# Every process runs under a loop that starts it again 0.2 s after it has ended,
# as the platform does, and notes each end in $record.

program=target/vanillalatch
standin=target/review/standin
controls=3
entries=3
control_door=8166
readiness_door=8167
packet_port=8172
first_internal=7720
last_internal=7735
heartbeat_ms=1200

now() { date +%s.%N | cut -c1-14; }
note() { echo "$(now) $*" >>"$record"; }

fleet_begin() {
  if [ ! -x $program ] || [ ! -x $standin ]; then
    echo "build first: the deploy file's build, then review/build.sh" >&2
    exit 2
  fi
  folder=$(mktemp -d)
  pids=$folder/pids
  : >"$pids"
  # A block of loopback addresses of its own, so the ports are free.
  block=127.$((64 + $$ % 128)).$((1 + $$ / 128 % 250))
  seeds=""
  for n in 1 2 3; do
    seeds="$seeds${seeds:+, }\"$block.$n:$control_door\""
  done
  doors=$block.1:$control_door,$block.2:$control_door,$block.3:$control_door
}

control_ip() { echo "$block.$1"; }
entry_ip() { echo "$block.$((100 + $1))"; }

# settings ROLE NAME IP ZONE BOOTSTRAP: fills in the template of the role.
settings() {
  zones='{"name": "z1", "region": "r"}, {"name": "z2", "region": "r"}, {"name": "z3", "region": "r"}'
  sed -e "s|{{node}}|$2|; s|{{zone}}|$4|; s|{{ip}}|$3|g; s|{{bootstrap}}|$5|" \
    -e "s|{{#zones}}.*{{/zones}}|$zones|; s|{{#seeds}}.*{{/seeds}}|$seeds|" \
    -e "s|{{internal_port_range.0}}|$first_internal|g" \
    -e "s|{{internal_port_range.1}}|$last_internal|g" \
    -e "s|{{data_directory}}|$folder/disk-$2|" \
    -e "s|{{listen_addresses.control}}|$3:$control_door|" \
    -e "s|{{listen_addresses.ready}}|$3:$readiness_door|" \
    -e "s|{{listen_addresses.datagram_address}}|$3:$packet_port|" \
    -e "s|{{heartbeat_interval_ms}}|$heartbeat_ms|" deploy/$1.json
}

# supervise NAME: runs the process NAME, and again whenever it ends.
supervise() {
  (
    while [ ! -e "$folder/end" ]; do
      $program serve --config "$folder/$1.json" >>"$folder/$1.log" 2>&1 &
      echo $! >"$folder/$1.pid"
      echo $! >>"$pids"
      code=0
      wait $! || code=$?
      [ -e "$folder/end" ] && break
      note "$1 ended by itself, exit status $code"
      # `bootstrap` is true only for the first start of the whole system.
      sed -i 's/"first_start": true/"first_start": false/' "$folder/$1.json"
      sleep 0.2
    done
  ) 2>/dev/null &
}

start_control() {
  settings control "control-$1" "$(control_ip "$1")" "z$1" true >"$folder/control-$1.json"
  supervise "control-$1"
}

start_entry() {
  settings entry "entry-$1" "$(entry_ip "$1")" "z$((($1 - 1) % 3 + 1))" true >"$folder/entry-$1.json"
  supervise "entry-$1"
}

# background COMMAND...: starts a stand-in that fleet_end ends.
background() {
  "$@" &
  echo $! >>"$pids"
}
trap 'exit 2' INT TERM

fleet_start() {
  for n in $(seq $controls); do start_control "$n"; done
  for n in $(seq $entries); do start_entry "$n"; done
}

# order BODY: sends a manifest as the operator does, until it is acknowledged.
order() {
  for try in $(seq 30); do
    for n in 1 2 3; do
      answer=$(echo "$1" | $standin http POST "$(control_ip $n):$control_door" /v1/configuration/replace -)
      note "order to control-$n answered: $answer"
      case $answer in
        200*) return 0 ;;
        400* | 409* | 412* | 413* | 422*) return 1 ;;
      esac
    done
    sleep 0.2
  done
  return 1
}

wait_ready() {
  for n in $(seq $entries); do
    for try in $(seq 100); do
      case $($standin http GET "$(entry_ip "$n"):$readiness_door" /v1/readiness) in
        200*) break ;;
      esac
      sleep 0.1
    done
  done
}

fleet_end() {
  : >"$folder/end"
  while read -r pid; do
    kill -9 "$pid" 2>/dev/null || true
  done <"$pids"
  wait 2>/dev/null || true
  rm -rf "$folder"
}
