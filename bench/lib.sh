# What the benchmarks share: stand-ins and daemons on loopback, stopped by their identifiers.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cargo build --release --quiet -p tansyknotd -p tansyknot-cli
cargo build --release --quiet -p tansyknot-standins --examples

bin=target/release
standins=$bin/examples
work=$(mktemp -d)
pids=()
table=127.0.0.1:18001
hosts=127.0.0.1:18002

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

start() {
  "$@" >>"$work/log" 2>&1 &
  pids+=($!)
}

wait_for() {
  for _ in $(seq 200); do
    curl -sf -o /dev/null "$1" && return 0
    sleep 0.05
  done
  echo "$1 does not answer" >&2
  exit 1
}

# daemon NUMBER: listens on 181N0 (callers), 181N1 (operators), 181N2 (peers).
daemon() {
  cat >"$work/daemon-$1.yaml" <<Y
name: d$1
availability_zone: z0
listen: {callers: "127.0.0.1:181${1}0", operators: "127.0.0.1:181${1}1", peers: "127.0.0.1:181${1}2"}
platform: {table: "$table", hosts: "$hosts"}
telemetry: {log_level: warn}
Y
  start $bin/tansyknotd --settings "$work/daemon-$1.yaml"
  daemon_pid=$!
}

# target NAME ADDRESS KIND POOL: one entry of the list of hosts.
target() {
  printf '{"name":"%s","address":"%s","availability_zone":"z0","state":"live","kind":"%s",' "$1" "$2" "$3"
  printf '"memory_bytes":80000000000,"fencing":"checked","labels":{"pool":"%s"}}' "$4"
}

# cpu_ms PID, rss_kb PID, peak_kb PID: what the system says of a process.
cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / hz)}' "/proc/$1/stat"; }
rss_kb() { awk '/VmRSS/ {print $2}' "/proc/$1/status"; }
peak_kb() { awk '/VmHWM/ {print $2}' "/proc/$1/status"; }
