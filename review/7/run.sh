#!/usr/bin/env bash
# Additional bytes of a faulty upstream are handed to another caller as the answer to its request.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common-2.sh"

config='{"version":"r1","services":[{"name":"catalog","connection-limit":130,"health-check-path":"/health"},{"name":"booking","connection-limit":130,"health-check-path":"/health"}],
"routes":[{"name":"read","hostname":"shop.example","path-prefix":"/","service":"catalog","route-kind":"safe","timeout-s":1.2,"target-latency-s":0.5,"max-attempts":2,"priority":2},
{"name":"book","hostname":"shop.example","path-prefix":"/book/","service":"catalog","route-kind":"unsafe","timeout-s":1.5,"target-latency-s":0.6,"max-attempts":2,"priority":1}],
"limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-s":5,"idle-timeout-s":30}}'

extra=0
[ "$trouble" = 0 ] || extra=100

take_addresses 20
start_store
put_order config "$config"
prepare_node node-1 catalog
prepare_node node-2 booking
start_node node-1
start_node node-2
wait_ready node-1 node-2
start_upstream node-1 i-1 v1 --work-ms 200 --extra-after-ms "$extra"
sleep 3

# One caller reads from the faulty upstream; 20 ms after each of its answers another one books.
for i in $(seq 10); do
    start_caller node-2 "read-$i" --path "/faulty/$i"
    wait "${pid_of[read-$i]}"
    start_caller node-2 "book-$i" --method POST --path "/book/$i" --deadline-ms 1500
    wait "${pid_of[book-$i]}"
done

served=$(grep -c ' answered .* served$' "$record")
foreign=$(grep -c ' answered .* foreign$' "$record")
note "result: $served answers of the upstream, $foreign successes that no upstream gave"
grep " result: " "$record"
[ "$served" -gt 0 ] || cannot_run "no request was served"
[ "$foreign" -eq 0 ] || exit 1
