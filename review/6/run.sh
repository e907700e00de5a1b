#!/usr/bin/env bash
# A node that stood still during the end of a roll-out acts on the old order when it wakes: its status replaces that of the
# next order. After the final fault all nodes take the version in service for one that was rolled back, and refuse every request.
# TROUBLE=0 leaves out both disturbances, TROUBLE=fault only the first one: node-4 does not stand still, all processes are killed.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
. "$here/../common-2.sh"

config() { # VERSION
    echo '{"version":"'"$1"'","services":[{"name":"catalog","connection-limit":130,"health-check-path":"/health"},{"name":"booking","connection-limit":130,"health-check-path":"/health"}],
"routes":[{"name":"read","hostname":"shop.example","path-prefix":"/","service":"catalog","route-kind":"safe","timeout-s":1.2,"target-latency-s":0.5,"max-attempts":2,"priority":2}],
"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":5,"idle-timeout-s":30}}'
}

roll_out() { # VERSION
    put_order rollout/catalog '{"service":"catalog","target-version":"'"$1"'","duration-s":16}'
}

# The operator reads status/rollout/catalog. Usage: await_state VERSION STATE SECONDS
await_state() {
    local until=$(($(now_ms) + $3 * 1000)) status
    while [ "$(now_ms)" -lt "$until" ]; do
        status=$("$tools/http-call" --to "$store" --target '/v1/log-newest?topic=keyed.status&part=0' --key rollout/catalog)
        if [[ $status == *'"state":"'"$2"'"'* && $status == *'"target-version":"'"$1"'"'* ]]; then
            note "operator reads: $status"
            return 0
        fi
        sleep 0.05
    done
    return 1
}

# Requests sent between the two times, and those of them that were served. Usage: count_between FROM TO
count_between() {
    awk -v from="$1" -v to="$2" '$2 == "sent" && $1 >= from && $1 < to { sent[$3] = 1; n++ }
        $2 == "answered" && sent[$3] && $5 == "served" { served++ } END { print n + 0, served + 0 }' "$record"
}

take_addresses 40
start_store
put_order config "$(config r1)"
# Five machines: three with an upstream of the service, in turn of versions 1, 2 and 3, and two of another service. Of the
# nodes' names, node-FROZEN is the one that writes the status of the first order first.
FROZEN=node-4 V1=node-3 V2=node-2 V3=node-1 OTHER=node-5
for node in "$FROZEN" "$OTHER"; do prepare_node "$node" booking; done
for node in "$V1" "$V2" "$V3"; do prepare_node "$node" catalog; done
for node in "$FROZEN" "$OTHER" "$V1" "$V2"; do start_node "$node"; done
wait_ready "$FROZEN" "$OTHER" "$V1" "$V2"
start_upstream "$V1" i-1 v1
start_upstream "$V2" i-2 v2
sleep 3
# 75 requests a second, from before the orders until the end.
for i in 1 2 3; do start_caller "$OTHER" "read-$i" --count 1500 --interval-ms 40; done
first_request=$(now_ms)
sleep 2

roll_out v2
ordered=$(now_ms)
start_node "$V3"
sleep_until $((ordered + 12900))
if [ "$trouble" = 1 ]; then
    kill -STOP "${pid_of[$FROZEN]}"
    note "$FROZEN stands still"
fi
await_state v2 completed 8 || cannot_run "the first roll-out was not completed"
# At "completed" the old upstreams stop at once; their machine goes with them.
kill -KILL "${pid_of[i-1]}"
kill -TERM "${pid_of[$V1]}"
start_upstream "$V3" i-3 v3 --fail-every 2
sleep 0.3
roll_out v3
await_state v3 running 2 || cannot_run "the second roll-out did not begin"
if [ "$trouble" = 1 ]; then
    sleep_until $((ordered + 17100))
    kill -CONT "${pid_of[$FROZEN]}"
    note "$FROZEN wakes"
fi
sleep_until $((ordered + 18500))
note "status in the store: $("$tools/http-call" --to "$store" --target '/v1/log-newest?topic=keyed.status&part=0' --key rollout/catalog)"
before=$(now_ms)

# The final fault: all processes are killed right after a change of the configuration was acknowledged.
put_order config "$(config r2)"
if [ "$trouble" != 0 ]; then
    for node in "$FROZEN" "$OTHER" "$V2" "$V3"; do kill_node "$node"; done
    note "all processes are killed"
    sleep 0.6
    for node in "$FROZEN" "$OTHER" "$V2" "$V3"; do start_node "$node"; done
    note "all processes are started again"
fi
back=$(now_ms)
sleep 25

read -r sent_before served_before < <(count_between "$first_request" "$before")
read -r sent_after served_after < <(count_between $((back + 15000)) $((back + 24000)))
note "status in the store: $("$tools/http-call" --to "$store" --target '/v1/log-newest?topic=keyed.status&part=0' --key rollout/catalog)"
note "answers from 15 s after the fault: $(awk -v from=$((back + 15000)) '$2 == "sent" && $1 >= from { sent[$3] = 1 }
    $2 == "answered" && sent[$3] { n[$4]++ } END { for (status in n) printf "%s: %d; ", status, n[status] }' "$record")"
note "result: before the final fault $served_before of $sent_before served, from 15 s after it $served_after of $sent_after"
grep " result: " "$record"
[ $((served_before * 4)) -ge "$sent_before" ] && [ "$sent_after" -gt 0 ] || cannot_run "too little was served before the fault"
[ $((served_after * 4)) -ge "$sent_after" ] || exit 1
