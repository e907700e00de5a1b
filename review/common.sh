# Functions that the review's scripts share: a small deployment of real processes on loopback addresses.
# A script sets CASE to its own folder and RECORD to its record, and sources this file; its working folder is then $work, removed at the end.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
TOOLS=$ROOT/target/review
NODE=$ROOT/target/packages/node/carobpathd
TROUBLE=${TROUBLE:-1}
work=$(mktemp -d)
declare -A pid

cannot_run() { echo "cannot run: $*" | tee -a "$RECORD"; exit 2; }

finish() {
    local status=$?
    trap - EXIT
    for it in "${pid[@]}"; do kill -KILL "$it" 2>/dev/null; done
    wait 2>/dev/null
    [ -n "${KEEP:-}" ] && cp -r "$work" "$KEEP"
    rm -rf "$work"
    exit "$status"
}
trap finish EXIT
trap 'exit 2' INT TERM

begin_record() {
    echo "$1; TROUBLE=$TROUBLE; $(date -u +%Y-%m-%dT%H:%M:%SZ)" >"$RECORD"
    for it in "$NODE" "$TOOLS"/{log-standin,fleet-upstream,fleet-requester,store-call,free-ports}; do
        [ -x "$it" ] || cannot_run "$(basename "$it") is not built"
    done
}

note() { echo "$(date +%s%3N) script $*" >>"$work/notes.log"; }

# Waits until a command succeeds; gives up after 15 s.
wait_for() {
    for _ in $(seq 150); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    cannot_run "waited in vain: $*"
}

start_store() {
    "$TOOLS/log-standin" >"$work/store.jsonl" 2>&1 &
    pid[store]=$!
    wait_for grep -q '"listen"' "$work/store.jsonl"
    store=$(head -1 "$work/store.jsonl" | grep -o '"listen":"[^"]*' | cut -d'"' -f4)
}

# put_value KEY FILE: the operator writes a value.
put_value() { "$TOOLS/store-call" "$store" put "$1" "$2" >>"$work/notes.log" || cannot_run "the store refuses $1"; }

# put_config FILE: the operator writes a configuration.
put_config() { put_value config "$1"; }

# make_node NAME ZONE SERVICE: chooses its addresses and fills the template of the deploy file.
make_node() {
    local name=$1 zone=$2 service=$3 ports
    mapfile -t ports < <("$TOOLS/free-ports" 7)
    eval "${name}_outbound=127.0.0.1:${ports[0]} ${name}_control=127.0.0.1:${ports[1]} ${name}_ready=127.0.0.1:${ports[2]} ${name}_backend=127.0.0.1:${ports[3]}"
    sed -e '/{{#/,/{{\//d' -e "s/{{node-name}}/sidecar-$zone-$name/; s/{{region}}/amman/; s/{{zone}}/$zone/; s/{{service}}/$service/" \
        -e "s/{{listen-addresses.outbound}}/127.0.0.1:${ports[0]}/; s/{{listen-addresses.control}}/127.0.0.1:${ports[1]}/" \
        -e "s/{{listen-addresses.ready}}/127.0.0.1:${ports[2]}/; s/{{application-address}}/127.0.0.1:${ports[3]}/" \
        -e "s/{{listen-addresses.inbound}}/127.0.0.1:${ports[4]}/; s/{{ip-address}}/127.0.0.1/" \
        -e "s/{{internal-port-range.0}}/${ports[5]}/; s/{{internal-port-range.1}}/${ports[6]}/; s/{{platform.address}}/$store/" \
        -e 's/{{bounds.retry-budget-ratio}}/0.2/; s/{{bounds.budget-slack}}/64/; s/{{bounds.budget-window-s}}/10/' \
        -e 's/{{bounds.grace-period-s}}/6/; s/{{bounds.exposure-share}}/0.1/; s/{{bounds.exposure-slack}}/50/; s/{{limits.link-mbps}}/1000.0/; s/{{platform.read-mb-per-s}}/80.0/' \
        "$ROOT/deploy/node.yaml" >"$work/$name.yaml"
}

# start_node NAME: runs the command of the deploy file.
start_node() {
    "$NODE" --settings "$work/$1.yaml" >>"$work/$1.events" 2>>"$work/$1.err" &
    pid[$1]=$!
    note "node $1 started pid=${pid[$1]}"
}

is_ready() {
    local address=$1
    exec 3<>"/dev/tcp/${address%:*}/${address#*:}" || return 1
    printf 'GET /v1/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n' >&3
    local line
    read -r -t 1 line <&3
    exec 3>&-
    [[ $line == *" 200 "* ]]
}

wait_ready() {
    local address="${1}_ready"
    wait_for is_ready "${!address}"
    note "node $1 is ready"
}

# start_upstream NODE INSTANCE SERVICE ZONE [OPTION ...]
start_upstream() {
    local node=$1 instance=$2 service=$3 zone=$4 listen="${1}_backend" control="${1}_control"
    shift 4
    "$TOOLS/fleet-upstream" --instance "$instance" --service "$service" --zone "$zone" --listen "${!listen}" --control "${!control}" "$@" >>"$work/$instance.log" 2>&1 &
    pid[$instance]=$!
    note "upstream $instance of $service started beside node $node: $*"
}

# requests NAME NODE [OPTION ...]: requesters of a node; returns when all have ended.
requests() {
    local name=$1 node="${2}_outbound"
    shift 2
    "$TOOLS/fleet-requester" --name "$name" --node "${!node}" "$@" >>"$work/$name.requester" 2>&1
}

# Merges what was sent, answered, run and done into the record, in the order of time.
write_record() { sort -n -s -k1,1 "$work"/*.log "$work"/*.requester >>"$RECORD" 2>/dev/null; }

verdict() {
    write_record
    if [ "$1" -gt 0 ]; then
        echo "BROKEN: $2" | tee -a "$RECORD"
        exit 1
    fi
    echo "HELD: $2" | tee -a "$RECORD"
    exit 0
}

# state_of SERVICE: prints the state of the service's move that stands in the store.
state_of() {
    "$TOOLS/store-call" "$store" status | awk -v key="rollout/$1" '$1 == key { print $2 }' | base64 -d | grep -o '"state":"[^"]*"' | cut -d'"' -f4
}
has_state() { [ "$(state_of "$1")" = "$2" ]; }
