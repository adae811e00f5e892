# Starts and stops a small fleet on loopback. Sourced by the other scripts.
# Processes are stopped by pid, never by name.

bin=${CICADAHUB_BUILD:-build}
work=$(mktemp -d)
pids=()

stop_fleet() {
  for it in "${pids[@]}"; do kill "$it" 2>/dev/null || true; done
  for it in "${pids[@]}"; do wait "$it" 2>/dev/null || true; done
  pids=()
  rm -rf "$work"
}

# Prints a port with no listener.
free_port() {
  local port
  while :; do
    port=$((20000 + RANDOM % 12000))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      echo "$port"
      return
    fi
  done
}

# start_standin NAME ROLE ARGUMENT...: starts a simulator and waits until it
# listens; sets address_NAME and pid_NAME.
start_standin() {
  local name=$1 role=$2
  shift 2
  "$bin/utilities/cicada-standin" "$role" "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  printf -v "pid_$name" '%s' "$!"
  for _ in $(seq 200); do
    if grep -q '^listening' "$work/$name.out" 2>/dev/null; then
      printf -v "address_$name" '%s' "$(awk '/^listening/ {print $2}' "$work/$name.out")"
      return
    fi
    sleep 0.02
  done
  echo "$name did not start:" >&2
  cat "$work/$name.err" >&2
  return 1
}

# start_daemon NAME [SETTINGS-LINE...]: starts a daemon with the extra lines at
# the end of its settings file; sets callers_NAME, operators_NAME and pid_NAME.
start_daemon() {
  local name=$1 callers operators fleet
  shift
  callers=127.0.0.1:$(free_port)
  operators=127.0.0.1:$(free_port)
  fleet=127.0.0.1:$(free_port)
  cat >"$work/$name.toml" <<EOF
[daemon]
name = "$name"
data_centre = "dc-${name: -1}"
[listen]
callers = "$callers"
operators = "$operators"
fleet = "$fleet"
[platform]
address = "$address_platform"
[lease]
duration_ms = 2000
renewal_ms = 500
margin_ms = 300
[drain]
notice_ms = 200
EOF
  for line in "$@"; do echo "$line" >>"$work/$name.toml"; done
  "$bin/services/cicadad" --settings "$work/$name.toml" 2>"$work/$name.log" &
  pids+=($!)
  printf -v "pid_$name" '%s' "$!"
  printf -v "callers_$name" '%s' "$callers"
  printf -v "operators_$name" '%s' "$operators"
}

wait_ready() {
  for _ in $(seq 500); do
    if curl -sf -o /dev/null "http://$1/readyz"; then return; fi
    sleep 0.02
  done
  echo "daemon at $1 did not become ready within the time limit" >&2
  return 1
}

# list_host NAME SPEC-JSON: adds a backend server to the platform's host list.
list_host() {
  curl -sf -o /dev/null -H 'Content-Type: application/json' \
    -d "{\"metadata\":{\"name\":\"$1\"},\"spec\":$2}" \
    "http://$address_platform/apis/cicadahub.example/v1/hosts"
}
