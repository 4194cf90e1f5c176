#!/bin/bash
# One entry VM at a time freezes for 2.5 s and wakes again, while callers open
# long flows through the others. Checks that no open flow gets a reset that its
# own endpoint didn't send. Ends with the first round in which one does.
# Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
record=$PWD/review/3/record.txt
: >"$record"
. review/fleet.sh
entries=6
fleet_begin
trap fleet_end EXIT

fleet_start
route=$block.200:8443
manifest='{"version":7,"routes":[{"name":"r-records","host":"'$block'.200","path_prefix":"/8443/","type":"safe","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"records","max_attempts":2}],"services":[{"name":"records","health_check_path":"/health","max_flows":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
order "$manifest" || exit 2
born=$(date +%s%3N)
for n in 1 2 3 4 5 6 7 8 9 a b c d e; do
  background $standin endpoint "$doors" "i-7f3a91c$n" "$block.$((30 + 0x$n)):8080" \
    records "z$((0x$n % 3 + 1))" "$born" $heartbeat_ms >>"$record"
done
wait_ready
sleep 3

# Prints the flows that got a reset, while they were open, which the endpoint
# that answered their requests didn't send.
foreign_resets() {
  awk '/^endpoint .* sent a reset to/ { sent[$2 " " $7] = 1 }
       /^flow of .* reset while open at/ { flow = $3; sub(/:$/, "", flow); got[flow] = $8 }
       END { for (it in got) if (!((got[it] " " it) in sent)) print it, "open at", got[it] }' "$record"
}

for frozen in $(seq $entries); do
  packets=""
  for n in $(seq $entries); do
    [ "$n" = "$frozen" ] || packets=$packets${packets:+,}$(entry_ip "$n"):$packet_port
  done
  pid=$(cat "$folder/entry-$frozen.pid")
  if [ "${TROUBLE:-1}" != 0 ]; then
    note "entry-$frozen freezes"
    kill -STOP "$pid" || exit 2
  fi
  background $standin callers "$block.$((50 + frozen)):$packet_port" "$route" "$packets" 10 6 >>"$record"
  caller=$!
  sleep 2.5
  if [ "${TROUBLE:-1}" != 0 ]; then
    kill -CONT "$pid" || exit 2
    note "entry-$frozen wakes"
  fi
  wait $caller
  resets=$(foreign_resets | wc -l)
  if [ "$resets" -gt 0 ]; then
    foreign_resets >>"$record"
    echo "broken: $resets of 10 open flows got a reset that their endpoint didn't send"
    exit 1
  fi
  sleep 2
done
open=$(awk '/^open at the end/ { n += $5 } END { print n + 0 }' "$record")
[ "$open" -gt 0 ] || exit 2
echo "held: no such reset; $open of $((10 * entries)) flows were open at the end of their round"
exit 0
