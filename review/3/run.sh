#!/usr/bin/env bash
# EXPOSURE: a version that was rolled back serves again as soon as the next version is ordered. See claim.txt.
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
. "$CASE/../common.sh"
begin_record "case 3, EXPOSURE"

duration_ms=12000
rollback_ms=5000
exposure_slack=50
drain_after_s=8

start_store
zones=(a b c)
for zone in "${zones[@]}"; do
    for version in 1 2 3; do make_node $zone$version amman-$zone catalog; done
    for number in 4 5 6; do make_node $zone$number amman-$zone booking; done
done
cat >"$work/config.json" <<'END'
{"version":"r7","routes":[{"name":"read","hostname":"catalog.example","path-prefix":"/slots/","route-kind":"safe","timeout-s":1.2,"target-latency-s":0.5,"priority":2,"service":"catalog","max-attempts":2}],"services":[{"name":"booking","health-check-path":"/health","connection-limit":130,"protocol":"h1","tls":false},{"name":"catalog","health-check-path":"/health","connection-limit":130,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15},"base-version":"r5"}
END
order() { echo "{\"service\":\"catalog\",\"target-version\":\"$1\",\"duration-s\":12}" >"$work/order.json" && put_value rollout/catalog "$work/order.json"; }

put_config "$work/config.json"
# start_version VERSION [OPTION ...]: its upstreams, one in each zone, with the machines beside them.
start_version() {
    local version=$1 work_ms=$2 zone
    shift 2
    for zone in "${zones[@]}"; do start_node $zone$version; done
    for zone in "${zones[@]}"; do wait_ready $zone$version; done
    for zone in "${zones[@]}"; do start_upstream $zone$version i-$zone$version catalog amman-$zone --version v$version --work-ms $work_ms "$@"; done
}

start_version 1 160
# Machines of the other service, where requests begin too.
for zone in "${zones[@]}"; do
    for number in 4 5 6; do start_node $zone$number; done
done
for zone in "${zones[@]}"; do
    for number in 4 5 6; do wait_ready $zone$number; done
done
sleep 5

for zone in "${zones[@]}"; do
    for number in 1 4 5 6; do
        requests q-$zone$number $zone$number --host catalog.example --path /slots/today --requesters 4 --requests 56 --interval-ms 250 --deadline-ms 1200 &
        requesters[${#requesters[@]}]=$!
    done
done
sleep 3

# The operator orders v2, whose upstreams start beside the old ones. It is bad: a third of its answers are failures.
start_version 2 40 --fail-every 3
ordered=$(date +%s%3N)
order v2
wait_for has_state catalog rolled_back
rolled_back=$(date +%s%3N)
note "the store says rolled_back, $((rolled_back - ordered)) ms after the order of v2"

# The operator orders the next version at once. The upstreams of v2 drain some seconds later.
if [ "$TROUBLE" != 0 ]; then
    start_version 3 160
    order v3
fi
sleep $drain_after_s
kill -USR1 "${pid[i-a2]}" "${pid[i-b2]}" "${pid[i-c2]}"
note "the upstreams of v2 drain"
wait "${requesters[@]}"
while [ "$(date +%s%3N)" -lt $((ordered + duration_ms + 500)) ]; do sleep 0.1; done

arrivals() { cat "$@" | awk -v from="$ordered" -v to=$((ordered + duration_ms)) '($2 == "run" || $2 == "refused") && $1 >= from && $1 <= to'; }
all=$(arrivals "$work"/i-*.log | wc -l)
bad=$(arrivals "$work"/i-?2.log | wc -l)
allowed=$((all / 10 + exposure_slack))
fiftieth=$(cat "$work"/i-?2.log | awk '$2 == "failed" { print $1 }' | sort -n | sed -n 50p)
late=0
if [ -n "$fiftieth" ]; then
    awk -v after=$((fiftieth + rollback_ms)) '$2 == "sent" && $1 > after { print $3 }' "$work"/q-*.requester | sort >"$work/sent-late"
    late=$(cat "$work"/i-?2.log | awk '$2 == "run" { print $3 }' | sort -u | comm -12 - "$work/sent-late" | wc -l)
fi
[ "$all" -ge 500 ] || cannot_run "only $all requests reached the service"
broken=0
[ "$bad" -gt "$allowed" ] || [ "$late" -gt 0 ] && broken=1
verdict $broken "the bad version got $bad of $all requests between its order and its deadline, $allowed are allowed; $late requests later than $rollback_ms ms after its 50th bad answer"
