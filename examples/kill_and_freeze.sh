#!/usr/bin/env bash
# Daemons as processes of their own, under signals. Eight callers send 2,000
# non-idempotent requests and repeat each under its identity until it is answered or
# its fate is told to be unknown, while daemons are frozen (SIGSTOP), killed and
# replaced. The stand-ins count what ran more than once. Takes a minute and a half,
# listens on 127.0.0.1 to 127.0.0.3 only, and ends all that it started.
#
#   cargo build --release --workspace --bins --examples && examples/kill_and_freeze.sh
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$root/target/release
work=$(mktemp -d)
cd "$work" || exit 1
declare -A daemon

start() {
    "$bin/goldcrestwayd" --settings "e$1.ini" > "e$1.log" 2>&1 &
    daemon[$1]=$!
}

caller() {
    for number in $(seq 1 250); do
        key="c$1-$number"
        turn=$1
        for _ in $(seq 1 12); do
            turn=$((turn % 3 + 1))
            outcome=$(curl -s -m 4 -D - -o /dev/null -X POST -H "Idempotency-Key: $key" -d "$key" \
                "http://127.0.0.$turn:8080/services/booking/x" | tr -d '\r' |
                awk 'tolower($1) == "goldcrestway-outcome:" { print $2 }')
            [ "$outcome" = answered ] && break
            sleep 0.3
        done
        echo "${outcome:-none}" >> "told-$1"
    done
}

"$bin/examples/platform" 1 > platform.log 2>&1 &
platform=$!
for seat in 1 2 3; do
    sed "s/^seat = e1/seat = e$seat/; s/^log_url/log_style = off\nlog_url/" \
        "$root/examples/spa/e1.ini" > "e$seat.ini"
    start $seat
done
sleep 3
cp "$root/examples/spa/inventory.ini" .
"$bin/goldcrestway" publish inventory.ini --settings e1.ini 2> /dev/null || exit 1
sleep 2
callers=()
for number in 1 2 3 4 5 6 7 8; do
    caller $number &
    callers+=($!)
done
for number in $(seq 1 40); do
    "$bin/goldcrestway" submit roster --id "r$number" --settings e1.ini > /dev/null 2>&1
done &
callers+=($!)

sleep 3 && echo "e2 freezes" && kill -STOP "${daemon[2]}"
sleep 6 && echo "e2 wakes" && kill -CONT "${daemon[2]}"
sleep 5 && echo "e3 is killed" && kill -KILL "${daemon[3]}"
sleep 5 && echo "e3 is replaced" && start 3
sleep 4 && echo "e1 freezes for a second" && kill -STOP "${daemon[1]}"
sleep 1 && kill -CONT "${daemon[1]}"
sleep 3 && echo "e1 and e2 are killed" && kill -KILL "${daemon[1]}" "${daemon[2]}"
sleep 2 && echo "e1 and e2 are replaced" && start 1 && start 2
wait "${callers[@]}"
echo "what callers were told last:"
cat told-* | sort | uniq -c
wait $platform
cat platform.log
kill -TERM "${daemon[@]}" 2> /dev/null
rm -r "$work"
