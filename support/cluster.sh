# Shared by support/quickstart and support/drill: starts figreach with its stand-ins on loopback and
# stops every process at exit. Source it from the project's root with `build` set.

programs=$PWD/$build/bin
work=$(mktemp -d)
started=()
declare -A pid_of=()

stop_all() {
    local pid
    for pid in "${started[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
    done
    for pid in "${started[@]}"; do
        for _ in $(seq 100); do
            kill -0 "$pid" 2>/dev/null || break
            sleep 0.1
        done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# start NAME PROGRAM ARGUMENT...: starts a process; its output goes to $work/NAME.log.
start() {
    local name=$1
    shift
    "$programs/$1" "${@:2}" >"$work/$name.log" 2>&1 &
    started+=($!)
    pid_of[$name]=$!
}

# Uses the first block of 100 ports in 24000-24999 in which no probed port accepts connections.
base=
for candidate in $(seq 24000 100 24900); do
    in_use=no
    for port in $(seq "$candidate" $((candidate + 60))); do
        if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
            in_use=yes
            break
        fi
    done
    if [ "$in_use" = no ]; then
        base=$candidate
        break
    fi
done
[ -n "$base" ] || {
    echo "no free ports in 24000-24999" >&2
    exit 3
}
address() { echo "127.0.0.1:$((base + $1))"; }

domains=(harbour hill valley)
store=$(address 0)
token=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
(umask 077 && printf '%s\n' "$token" >"$work/token")

start store figreach-standin store --address "$store" --control "$(address 1)"

# Backend servers: lessons-1..6 (divided by key), media-1..3 (not divided).
backends=()
cat >"$work/description.toml" <<EOF
tenant = [{ name = "pelita", weight = 1 }]

[[service]]
name = "lessons"
tenant = "pelita"
class = [{ name = "browse", shed_order = 1 }, { name = "order" }]

[[service]]
name = "media"
tenant = "pelita"
divided_by_key = false
checks_fences = false
class = [{ name = "library", shed_order = 1 }]
EOF
for domain in "${domains[@]}"; do
    printf '\n[[failure_domain]]\nname = "%s"\nregion = "here"\nstate = "in"\n' "$domain" \
        >>"$work/description.toml"
done
add_backend() { # SERVICE NUMBER PORT_OFFSET OPTION...
    local name=$1-$2 at
    at=$(address "$3")
    start "$name" figreach-standin backend --name "$name" --address "$at" --service-time-ms 2 "${@:4}"
    backends+=(--backend "$at")
    printf '\n[[backend_server]]\nname = "%s"\nservice = "%s"\nfailure_domain = "%s"\naddress = "%s"\n' \
        "$name" "$1" "${domains[$((($2 - 1) % 3))]}" "$at" >>"$work/description.toml"
}
for i in 1 2 3 4 5 6; do add_backend lessons "$i" $((10 + i)); done
for i in 1 2 3; do add_backend media "$i" $((20 + i)) --unfenced; done

# Entry hosts: one in each failure domain, five ports each.
hosts=()
ready=()
for i in 0 1 2; do
    at=$((30 + 10 * i))
    cat >"$work/host-$i.toml" <<EOF
name = "host-$i"
failure_domain = "${domains[$i]}"
caller_address = "$(address "$at")"
forward_address = "$(address $((at + 1)))"
peer_address = "$(address $((at + 2)))"
operator_address = "$(address $((at + 3)))"
admin_address = "$(address $((at + 4)))"
seeds = ["$(address 32)", "$(address 42)", "$(address 52)"]
store_address = "$store"
operator_token = "$token"
balancer_grace_ms = 200
EOF
    start "host-$i" figreachd "$work/host-$i.toml"
    hosts+=(--host "$(address "$at")")
    ready+=(--ready "$(address $((at + 4)))")
done

ctl() {
    "$programs/figreachctl" "$@" --token-file "$work/token" \
        --host "$(address 33)" --host "$(address 43)" --host "$(address 53)"
}

# change VERB ...: retries until the change is accepted, since entry hosts may still be starting.
change() {
    for _ in $(seq 50); do
        if ctl "$@" --by "$(basename "$0")" >"$work/change.log" 2>&1; then
            return 0
        fi
        sleep 0.2
    done
    echo "'$*' was not accepted:" >&2
    cat "$work/change.log" >&2
    return 1
}

# Applies the description and waits until one request of each service is answered.
begin() {
    change apply "$work/description.toml" --based-on 0
    local warm=no
    for _ in $(seq 60); do
        if "$programs/figreach-load" "${hosts[@]}" --seconds 0.2 --seed 1 \
            --stream service=lessons,rate=50 --stream service=media,rate=50,keyed=0 --json \
            >"$work/warm.log" 2>&1 && ! grep -q '"answered":0' "$work/warm.log"; then
            warm=yes
            break
        fi
        sleep 0.2
    done
    [ "$warm" = yes ] || echo "not every service answers yet; continuing" >&2
}

# load SECONDS SEED [OPTION...]: sends all streams and checks promises against the backends' records.
load() {
    "$programs/figreach-load" "${hosts[@]}" "${backends[@]}" --seconds "$1" --seed "$2" "${@:3}" \
        --stream service=lessons,class=browse,rate=300 \
        --stream service=lessons,class=order,rate=40,posts=1 \
        --stream service=media,class=library,rate=60,keyed=0,answer-bytes=50000
}

# verdict STATUS: prints a one-line summary of the exit status of a load.
verdict() {
    case $1 in
    0) echo "PASS: no promise was broken" ;;
    1) echo "FAIL: a promise was broken" ;;
    *) echo "FAIL: nothing was answered, or it could not be checked (exit status $1)" ;;
    esac
}
