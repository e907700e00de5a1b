#!/usr/bin/env bash
# After the restart of a node, a ping that was on its way when its upstream left puts the upstream into use again.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
. "$here/../common-2.sh"

config='{"version":"r1","services":[{"name":"catalog","connection-limit":130,"health-check-path":"/health"},{"name":"booking","connection-limit":130,"health-check-path":"/health"}],
"routes":[{"name":"read","hostname":"shop.example","path-prefix":"/","service":"catalog","route-kind":"safe","timeout-s":1.2,"target-latency-s":0.5,"max-attempts":2,"priority":2}],
"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":5,"idle-timeout-s":30}}'
born=$(now_ms)

# Usage: ping SEQUENCE
ping() {
    local body='{"address":"'"${upstream_of[node-1]}"'","born":'"$born"',"server-info":{"service":"catalog","version":"v1","zone":"amman-a","slots":6},"status":{"state":"ready","seq":'"$1"',"cold-remaining-s":0}}'
    note "ping $1 answered $("$tools/http-call" --to "${control_of[node-1]}" --method PUT --target /v1/instances/i-1 --body "$body")"
}

take_addresses 20
start_store
put_order config "$config"
prepare_node node-1 catalog
prepare_node node-2 booking
start_node node-1
start_node node-2
wait_ready node-1 node-2
# The upstream beside node-1. Its pings are sent here, one of them late.
start i-1 "$tools/upstream-server" --listen "${upstream_of[node-1]}" --instance i-1 --version v1 --record "$record"
ping 1
sleep 1.5
ping 2
sleep 1.4
for i in 1 2 3 4; do start_caller node-2 "read-$i" --count 250 --interval-ms 40; done
sleep 0.1

# Ping 3 leaves the upstream here and is delayed on its way; then the upstream says that it leaves, from now on in its answers too.
kill -USR1 "${pid_of[i-1]}"
answer=$("$tools/http-call" --to "${control_of[node-1]}" --method DELETE --target /v1/instances/i-1)
left=$(now_ms)
note "leaving answered $answer"
[[ $answer == 200* ]] || cannot_run "the leaving was not acknowledged"
if [ "$trouble" != 0 ]; then
    sleep 0.2
    kill_node node-1
    note "node-1 is killed"
    start_node node-1
    note "node-1 is started again"
    wait_ready node-1
fi
sleep_until $((left + 3500))
ping 3
sleep_until $((left + 8000))

# The upstream goes on serving for drain-s (2 s) and some seconds more. Requests count that reach it later than drain-s after
# the leaving was acknowledged, with both nodes in touch again: stability-window-s (3 s) after the start of node-1.
from=$((left + 2000))
restarted=$(awk '/node-1 is started again/ { print $1 }' "$record")
[ -z "$restarted" ] || [ "$from" -ge $((restarted + 3000)) ] || from=$((restarted + 3000))
before=$(awk -v left="$left" '$2 == "ran" && $1 < left' "$record" | wc -l)
late=$(awk -v from="$from" '$2 == "ran" && $1 > from' "$record" | wc -l)
note "result: $before requests ran before the leaving, $late later than drain-s after it was acknowledged, from machines in touch"
grep " result: " "$record"
[ "$before" -gt 0 ] || cannot_run "no request ran before the leaving"
[ "$late" -eq 0 ] || exit 1
