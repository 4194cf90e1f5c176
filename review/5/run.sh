#!/bin/bash
# Another writer sends a ping with a field of another type, a deeply nested
# list, as an endpoint sends its pings: to the next node while none answers.
# Checks that the processes that serve control don't end by themselves.
# Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
record=$PWD/review/5/record.txt
: >"$record"
. review/fleet.sh
fleet_begin
trap fleet_end EXIT

fleet_start
manifest='{"version":7,"routes":[{"name":"r-records","host":"'$block'.200","path_prefix":"/8443/","type":"safe","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"records","max_attempts":2}],"services":[{"name":"records","health_check_path":"/health","max_flows":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
order "$manifest" || exit 2
born=$(date +%s%3N)
for n in 1 2 3 4; do
  background $standin endpoint "$doors" "i-7f3a91c$n" "$block.$((30 + n)):8080" \
    records "z$((n % 3 + 1))" "$born" $heartbeat_ms >>"$record"
done
wait_ready

# The same ping as that of an endpoint, but for "born": a list of one list of
# one list ..., 100,000 deep (200 kB), where TROUBLE=0 has the usual number.
if [ "${TROUBLE:-1}" = 0 ]; then
  value=$born
else
  open=$(printf '%100000s' '' | tr ' ' '[')
  close=$(printf '%100000s' '' | tr ' ' ']')
  value=$open$close
fi
for round in $(seq 8); do
  printf '{"service":"records","address":"%s","zone":"z1","version":"v1","slots":2,"state":"ready","warmup_remaining_ms":0,"sequence":%s,"born":%s}' \
    "$block.40:8080" "$round" "$value" |
    $standin ping "$doors" i-51c0ffee - >>"$record"
  sleep 1.2
done

broken=0
for n in $(seq $controls); do
  ends=$(grep -c "control-$n ended by itself" "$record")
  note "control-$n ended by itself $ends times"
  [ "$ends" -ge 3 ] && broken=$((broken + 1))
done
if [ $((2 * broken)) -ge $controls ]; then
  echo "broken: processes on $broken of $controls control VMs ended by themselves three times or more"
  exit 1
fi
echo "held: processes on $broken of $controls control VMs ended by themselves three times"
exit 0
