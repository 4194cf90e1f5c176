#!/bin/bash
# The operator sends a manifest in which a route names an unknown service.
# Checks that it is answered with a 4xx and isn't read back.
# Exit status: 0 the rule held, 1 it was broken, 2 the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
record=$PWD/review/5/record.txt
: >"$record"
. review/fleet.sh
entries=0
fleet_begin
trap fleet_end EXIT

fleet_start
# manifest VERSION SERVICE: a route that sends its flows to "records" and names
# SERVICE as its service.
manifest() {
  echo '{"version":'$1',"routes":[{"name":"r-records","host":"'$block'.200","path_prefix":"/8443/","type":"safe","timeout_ms":1500,"target_latency_ms":250,"priority":1,"service":"'$2'","traffic_split":[{"service":"records","weight":1}],"max_attempts":2}],"services":[{"name":"records","health_check_path":"/health","max_flows":2000,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
}
order "$(manifest 7 records)" || exit 2

service=ghost
[ "${TROUBLE:-1}" = 0 ] && service=records
answer=""
for try in $(seq 10); do
  answer=$(manifest 9 $service | $standin http POST "$(control_ip $((try % 3 + 1))):$control_door" /v1/configuration/replace -)
  note "manifest 9, service $service, answered: $answer"
  case $answer in
    0* | 5*) sleep 0.5 ;;
    *) break ;;
  esac
done
sleep 1
back=$($standin http GET "$(control_ip 1):$control_door" /v1/configuration/get)
note "read back: $back"
case $service$answer in
  ghost2*)
    echo "broken: a manifest whose route names an unknown service was acknowledged"
    exit 1
    ;;
  ghost4*)
    case $back in
      *'"version":9'*) echo "broken: a refused manifest is in force" && exit 1 ;;
    esac
    echo "held: the invalid manifest was refused"
    exit 0
    ;;
  records2*) echo "held: the valid manifest was acknowledged" && exit 0 ;;
esac
exit 2
