# What the scripts of the second review share; sourced by review/N/run.sh. A script sets `here`, its folder, and `record`, its record.txt, before.
# It starts the store's stand-in, nodes of a small deployment with deploy/node.yaml, upstreams and callers, all on loopback
# addresses, and ends them when it ends.

root=$(cd "$here/../.." && pwd)
tools=$root/target/review-2
daemon=$root/target/packages/node/carobpathd
trouble=${TROUBLE:-1}
work=$(mktemp -d)
pids=()
declare -A pid_of control_of outbound_of ready_of upstream_of

end_all() {
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$work"
}
trap end_all EXIT

cannot_run() {
    echo "cannot run: $1" | tee -a "$record"
    exit 2
}

now_ms() { date +%s%3N; }

note() { echo "$(now_ms) $*" >>"$record"; }

sleep_until() { # MILLISECONDS since 1970
    local left=$(($1 - $(now_ms)))
    [ "$left" -le 0 ] || sleep "$((left / 1000)).$(printf '%03d' $((left % 1000)))"
}

# Starts a program of this case in the background. Usage: start NAME COMMAND...
start() {
    local name=$1
    shift
    "$@" >>"$work/$name.out" 2>>"$work/$name.err" &
    pid_of[$name]=$!
    pids+=("$!")
}

take_addresses() { # COUNT
    mapfile -t addresses < <("$tools/free-addresses" "$1")
    [ "${#addresses[@]}" -eq "$1" ] || cannot_run "no free addresses"
}

next_address() { # sets `address`
    address=${addresses[0]}
    addresses=("${addresses[@]:1}")
}

start_store() {
    next_address
    store=$address
    start store "$tools/log-standin" --listen "$store"
    local i
    for i in $(seq 50); do
        "$tools/http-call" --to "$store" --target '/v1/log-newest?topic=keyed.op&part=0' >/dev/null 2>&1 && return
        sleep 0.1
    done
    cannot_run "the store does not answer"
}

# Writes a record as the operator does. Usage: put_order KEY VALUE
put_order() {
    "$tools/http-call" --to "$store" --method POST --target '/v1/log-append?topic=keyed.op&part=0' --key "$1" --body "$2" >/dev/null \
        || cannot_run "the store refuses $1"
    note "operator: $1 $2"
}

# Fills deploy/node.yaml with fields as those in DEPLOY.md. Usage: prepare_node NAME SERVICE
prepare_node() {
    local name=$1 service=$2 outbound inbound ready control calls admin
    next_address && outbound=$address
    next_address && inbound=$address
    next_address && ready=$address
    next_address && control=$address
    next_address && calls=$address
    next_address && admin=$address
    next_address && upstream_of[$name]=$address
    outbound_of[$name]=$outbound
    ready_of[$name]=$ready
    control_of[$name]=$control
    # The deployments of the cases have no quota-window-s, and the template's sections for it are left out.
    sed -e '/{{#bounds.quota-window-s}}/,/{{\/bounds.quota-window-s}}/d' \
        -e "s|{{node-name}}|$name|; s|{{region}}|amman|; s|{{zone}}|amman-a|; s|{{service}}|$service|" \
        -e "s|{{listen-addresses.outbound}}|$outbound|; s|{{listen-addresses.inbound}}|$inbound|" \
        -e "s|{{listen-addresses.ready}}|$ready|; s|{{listen-addresses.control}}|$control|" \
        -e "s|{{ip-address}}:{{internal-port-range.0}}|$calls|; s|{{ip-address}}:{{internal-port-range.1}}|$admin|" \
        -e "s|{{application-address}}|${upstream_of[$name]}|; s|{{platform.address}}|$store|; s|{{platform.read-mb-per-s}}|80.0|" \
        -e "s|{{bounds.retry-budget-ratio}}|0.2|; s|{{bounds.budget-slack}}|64|; s|{{bounds.budget-window-s}}|10|" \
        -e "s|{{limits.link-mbps}}|1000.0|; s|{{bounds.grace-period-s}}|6|" \
        -e "s|{{bounds.exposure-share}}|0.1|; s|{{bounds.exposure-slack}}|50|" \
        "$root/deploy/node.yaml" >"$work/$name.yaml"
    grep -q '{{' "$work/$name.yaml" && cannot_run "a field of deploy/node.yaml is not filled"
    return 0
}

start_node() { # NAME
    start "$1" "$daemon" --settings "$work/$1.yaml"
}

kill_node() { # NAME: kills the process and waits for its end
    kill -KILL "${pid_of[$1]}"
    wait "${pid_of[$1]}" 2>/dev/null
}

wait_ready() { # NAME...
    local name i
    for name in "$@"; do
        for i in $(seq 150); do
            "$tools/http-call" --to "${ready_of[$name]}" --target /v1/readiness >/dev/null 2>&1 && continue 2
            sleep 0.1
        done
        cannot_run "$name is not ready"
    done
}

# Usage: start_upstream NODE INSTANCE VERSION [OPTION...]
start_upstream() {
    local node=$1 instance=$2 version=$3
    shift 3
    start "$instance" "$tools/upstream-server" --listen "${upstream_of[$node]}" --control "${control_of[$node]}" \
        --instance "$instance" --version "$version" --record "$record" "$@"
}

# Usage: start_caller NODE NAME [OPTION...]
start_caller() {
    local node=$1 name=$2
    shift 2
    start "$name" "$tools/request-sender" --to "${outbound_of[$node]}" --name "$name" --record "$record" "$@"
}

[ -x "$daemon" ] && [ -x "$tools/http-call" ] || { echo "cannot run: build deploy/system.toml and review/build-2.sh first"; exit 2; }
: >"$record"
