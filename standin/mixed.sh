#!/usr/bin/env bash
# Runs two builds beside each other and on each other's data.
#
#   standin/mixed.sh OLD NEW DIR
#
# OLD and NEW are directories with the programs of the two builds (make build), DIR is a new
# directory for settings, logs and outputs. Every process listens on a loopback address. The
# steps print "ok" or "FAILED"; the exit status is 1 if one of them failed.
#
#   MIXED_SEEDS  seeds of the soak (default 4)
#   MIXED_CHAOS  length of the chaos run (default 60s)
set -uo pipefail

old=$(realpath "$1") new=$(realpath "$2")
mkdir -p "$3" && dir=$(realpath "$3")
cd "$(dirname "$0")/.."
failed=0
declare -a started=()

step() { # step NAME STATUS
  if [ "$2" = 0 ]; then echo "ok      $1"; else echo "FAILED  $1"; failed=1; fi
}

cleanup() {
  for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null; done
}
trap cleanup EXIT

# await URL waits until URL is answered with 200.
await() {
  for _ in $(seq 150); do curl -fsS -o "$dir/last" "$1" 2>/dev/null && return 0; sleep 0.1; done
  echo "no answer from $1"; return 1
}

# keys prints the names of all fields of a JSON text.
keys() { grep -oE '"[A-Za-z_0-9./-]+":' | sort -u; }

ip=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1)).$((RANDOM % 250 + 1))
platform=http://$ip:7400
declare -A pids=()

settings() { # settings NUMBER: writes the settings of a daemon
  cat > "$dir/host-$1.yaml" <<EOF
host: host-$1
zone: local
listen: {callers: "$ip:71$1", peers: "$ip:72$1", operators: "$ip:73$1"}
platform: {url: "$platform", hosts_every: 1s, timeout: 2s, snapshot_every: 4, snapshot_delay: 100ms, snapshot_age: 1m}
peers:
$(for n in 01 02 03; do [ "$n" = "$1" ] || echo "  - {host: host-$n, zone: local, address: \"$ip:72$n\"}"; done)
drain: {grace: 200ms, timeout: 5s}
log: {format: logfmt, level: debug}
EOF
}

launch() { # launch BUILD NUMBER
  "$1/sesameledged" "$dir/host-$2.yaml" >> "$dir/host-$2.log" 2>&1 &
  pids[$2]=$!; started+=($!)
}

stop() { # stop SIGNAL NUMBER
  kill "-$1" "${pids[$2]}"; wait "${pids[$2]}" 2>/dev/null
}

cli() { # cli BUILD ARGUMENTS
  local build=$1; shift
  "$build/sesameledge" --operator "http://$ip:7301" --operator "http://$ip:7302" --operator "http://$ip:7303" --host "http://$ip:7101" "$@"
}

publish() { # publish BUILD WEIGHT
  sed "s/WEIGHT/$2/" > "$dir/config.yaml" <<'EOF'
schema: 1
teams:
  association: {weight: WEIGHT}
kinds:
  price-check: {group: demo, idempotent: true, default_deadline: 10s}
groups:
  demo: {endpoints: minion}
EOF
  cli "$1" config publish --author mixed --reason "weight $2" --wait "$dir/config.yaml" > "$dir/publish" 2>&1 || { cat "$dir/publish"; return 1; }
}

submit() { # submit NUMBER KEY EPOCH: prints the reply
  curl -sS --max-time 20 -H 'Content-Type: application/json' "http://$ip:71$1/v1/jobs" -d \
    "{\"schema\": 1, \"key\": \"$2\", \"key_epoch\": $3, \"team\": \"association\", \"kind\": \"price-check\", \"deadline_ms\": 8000, \"tasks\": [{\"run_ms\": 30, \"payload\": {\"run_ms\": 30, \"echo\": \"$2\"}}]}"
}

check_settings() {
  local rc=0 build
  printf 'host: a\nzone: b\nzones: [b]\nlisten: {callers: "127.0.0.1:1", ready: "127.0.0.1:2", peers: "127.0.0.1:3", metrics: "127.0.0.1:4"}\nseeds: []\nstore: "127.0.0.1:5"\ncores: 1\ncore_share: 0.4\nmemory_mb: 284\ndrain_time: 6s\nlog: {lines_per_second: 40}\n' > "$dir/entry.yaml"
  for build in "$old" "$new"; do
    for f in examples/*/*-1.yaml; do "$build/sesameledged" --check "$f"; done > "$dir/check-$(basename "$build")" 2>&1 || rc=1
    for f in examples/*/config.yaml; do "$build/sesameledge" config validate "$f"; done >> "$dir/check-$(basename "$build")" 2>&1 || rc=1
    "$build/sesameledged" --entry --check "$dir/entry.yaml" >> "$dir/check-$(basename "$build")" 2>&1 || rc=1
  done
  cmp "$dir/check-$(basename "$old")" "$dir/check-$(basename "$new")" || rc=1
  return $rc
}

# stored_data fills the platform's log, snapshots and claims with the old build and reads them
# with the new one, with records dropped before the last snapshot.
stored_data() {
  local rc=0 epoch reply n
  "$old/platform" --listen "$ip:7400" --retention 6 > "$dir/platform.log" 2>&1 & started+=($!)
  "$old/minions" --count 6 --address "$ip" --admin "$ip:7410" --platform "$platform" --group demo > "$dir/minions.log" 2>&1 & started+=($!)
  for n in 01 02 03; do settings $n; launch "$old" $n; done
  for n in 01 02 03; do await "http://$ip:73$n/livez" || return 1; done
  for n in 1 2 3 4 5 6 7 8 9; do publish "$old" $n || return 1; done
  for n in 01 02 03; do await "http://$ip:73$n/readyz" || return 1; done
  epoch=$(curl -sS "http://$ip:7101/v1/epoch" | sed 's/.*"key_epoch":\([0-9]*\).*/\1/')
  submit 01 stored "$epoch" > "$dir/stored.old"
  grep -q '"outcome":"complete"' "$dir/stored.old" || { cat "$dir/stored.old"; rc=1; }
  cli "$old" config show > "$dir/show.old"; cli "$old" config history > "$dir/history.old"
  grep -hc 'snapshot appended' "$dir"/host-*.log | paste -sd+ | bc > "$dir/snapshots"
  [ "$(cat "$dir/snapshots")" -gt 0 ] || { echo "no snapshot was appended"; rc=1; }
  # Host 01 keeps the old build until the key has been asked for at the others.
  for n in 02 03; do stop KILL $n; launch "$new" $n; done
  for n in 02 03; do await "http://$ip:73$n/readyz" || return 1; done
  reply=$(submit 02 stored "$epoch")
  [ "$(tr -d ' ' <<< "$reply" | grep -o '"results*":.*')" = "$(tr -d ' ' < "$dir/stored.old" | grep -o '"results*":.*')" ] || { echo "another answer to the key: $reply"; rc=1; }
  stop KILL 01; launch "$new" 01
  await "http://$ip:7301/readyz" || return 1
  cli "$new" config show > "$dir/show.new"; cli "$new" config history > "$dir/history.new"
  cmp "$dir/show.old" "$dir/show.new" || rc=1
  cmp "$dir/history.old" "$dir/history.new" || rc=1
  return $rc
}

# mixed_daemons runs one old and two new daemons: publications through each build, the command
# lines of both, equal fields of dumps and figures, a drain and a kill between jobs.
mixed_daemons() {
  local rc=0 n build
  stop TERM 01; launch "$old" 01
  for n in 01 02 03; do await "http://$ip:73$n/readyz" || return 1; done
  publish "$old" 21 || rc=1
  publish "$new" 22 || rc=1
  for build in "$old" "$new"; do
    cli "$build" config history > "$dir/history.$(basename "$build")" || rc=1
    cli "$build" config show > "$dir/show.$(basename "$build")" || rc=1
    cli "$build" hosts | sed 's/ [0-9.]*m*s\b//g' > "$dir/hosts.$(basename "$build")" || rc=1
    cli "$build" status > "$dir/status.$(basename "$build")" || rc=1
    "$build/sesameledge" --host "http://$ip:7101" job submit examples/price-check.json >> "$dir/jobs" 2>&1
    "$build/sesameledge" --host "http://$ip:7102" job submit examples/price-check.json >> "$dir/jobs" 2>&1
  done
  for f in history show; do cmp "$dir/$f.$(basename "$old")" "$dir/$f.$(basename "$new")" || rc=1; done
  for n in 01 02; do
    curl -sS "http://$ip:73$n/debug/vars" | keys > "$dir/vars.$n"
    "$new/sesameledge" --operator "http://$ip:73$n" dump | keys > "$dir/dump.$n"
    "$old/sesameledge" --operator "http://$ip:73$n" dump | keys > "$dir/dump.old.$n"
  done
  for f in vars dump dump.old; do diff "$dir/$f.01" "$dir/$f.02" || rc=1; done
  "$old/sesameledge" --operator "http://$ip:7302" drain > "$dir/drain" 2>&1 || rc=1
  wait "${pids[02]}" 2>/dev/null || rc=1
  launch "$new" 02; await "http://$ip:7302/readyz" || rc=1
  "$new/sesameledge" --operator "http://$ip:7301" drain >> "$dir/drain" 2>&1 || rc=1
  wait "${pids[01]}" 2>/dev/null || rc=1
  launch "$old" 01; await "http://$ip:7301/readyz" || rc=1
  stop KILL 03; launch "$old" 03; await "http://$ip:7303/readyz" || rc=1
  publish "$new" 23 || rc=1
  return $rc
}

# builds writes a directory of programs in which half of the hosts run the old daemon, by the
# checksum of their names.
builds() {
  mkdir -p "$dir/bin"
  cp "$new"/* "$dir/bin/"
  cat > "$dir/bin/sesameledged" <<EOF
#!/bin/sh
for last; do :; done
n=\$(basename "\$last" | cksum | cut -d' ' -f1)
if [ \$((n % 2)) = 0 ]; then exec "$old/sesameledged" "\$@"; fi
exec "$new/sesameledged" "\$@"
EOF
  chmod +x "$dir/bin/sesameledged"
}

check_settings; step "settings and configurations are checked alike by both builds" $?
stored_data; step "the new build reads the log, snapshots and claims of the old one" $?
mixed_daemons; step "daemons and command lines of both builds beside each other" $?
builds
"$dir/bin/demo" --bin "$dir/bin" > "$dir/demo.out" 2>&1; step "demo with daemons of both builds" $?
"$dir/bin/chaos" --bin "$dir/bin" --for "${MIXED_CHAOS:-60s}" > "$dir/chaos.out" 2>&1; step "chaos with daemons of both builds" $?
mkdir -p "$dir/soak"
evacuations=()
grep -q "zone evacuated" "$old/sesameledged" || evacuations=(--no-evacuations) # the old build ignores them
"$dir/bin/soak" "${evacuations[@]}" --bin "$dir/bin" --seeds "${MIXED_SEEDS:-4}" --parallel 2 --logs "$dir/soak" > "$dir/soak.out" 2>&1; step "soak with entry hosts of both builds" $?
exit $failed
