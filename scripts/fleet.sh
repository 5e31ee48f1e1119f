# Functions that start a fleet of local processes on 127.0.0.1 for the demonstration and for manual tests. To be
# sourced; fleet_start needs BIN (directory of the binaries) and RUN (directory for the files of the run).

PORT_BASE=${PORT_BASE:-21000}
STORE_PORT=$PORT_BASE
DIRECTORY_PORT=$((PORT_BASE + 1))
INSTANCES=${INSTANCES:-7}
WORKERS=${WORKERS:-100}
UPSTREAMS=${UPSTREAMS:-100}
RACK=8
DOMAINS=(${DOMAINS:-hobart launceston burnie})
REGION=${REGION:-lutruwita}
PIDS=()

http_port() { echo $((PORT_BASE + 100 + $1 * 3)); }
operators_port() { echo $((PORT_BASE + 101 + $1 * 3)); }
rpc_port() { echo $((PORT_BASE + 102 + $1 * 3)); }
worker_port() { echo $((PORT_BASE + 300 + $1)); }
upstream_port() { echo $((PORT_BASE + 1400 + $1)); }

# Runs a command in the background and records its process id. The first argument is the name of its log file.
fleet_run() {
  local log=$1
  shift
  "$@" > "$RUN/$log.log" 2>&1 &
  PIDS+=($!)
}

# The fleet models two deployments of equal size, disbursement and engraving; each has half of the workers and half of
# the upstreams.
write_directory() {
  {
    echo '{"instances": ['
    local separator=""
    for ((i = 0; i < WORKERS; i++)); do
      echo "$separator{\"id\": \"worker-$i\", \"kind\": \"worker\", \"address\": \"127.0.0.1:$(worker_port $i)\"," \
        "\"failure_domain\": \"${DOMAINS[$((i / RACK % ${#DOMAINS[@]}))]}\", \"region\": \"$REGION\"," \
        "\"rack\": \"rack-$((i / RACK))\", \"state\": \"live\"}"
      separator=","
    done
    for ((i = 0; i < UPSTREAMS; i++)); do
      local service=bursary-desk
      [ $i -ge $((UPSTREAMS / 2)) ] && service=engraving-desk
      echo "$separator{\"id\": \"upstream-$i\", \"kind\": \"upstream\", \"address\": \"127.0.0.1:$(upstream_port $i)\"," \
        "\"failure_domain\": \"${DOMAINS[$((i % ${#DOMAINS[@]}))]}\", \"region\": \"$REGION\"," \
        "\"service\": \"$service\", \"state\": \"live\"}"
      separator=","
    done
    echo ']}'
  } > "$RUN/directory.json"
}

write_settings() {
  local i=$1
  cat > "$RUN/daemon-$i.json" <<SETTINGS
{
  // Written by the demonstration.
  "region": "$REGION",
  "failure_domain": "${DOMAINS[$((i % ${#DOMAINS[@]}))]}",
  "seats": 7,
  "listen": {
    "address": "127.0.0.1",
    "http_port": $(http_port $i),
    "operators_port": $(operators_port $i),
    "rpc_port": $(rpc_port $i)
  },
  "store": { "endpoints": ["127.0.0.1:$STORE_PORT"] },
  "directory": { "endpoint": "127.0.0.1:$DIRECTORY_PORT" },
  "operators": { "key_digest_file": "$RUN/operator.digest" },
  "instances": { "secret_file": "$RUN/instance.secret" }
}
SETTINGS
}

start_daemon() {
  write_settings "$1"
  fleet_run "daemon-$1" "$BIN/daisydriftd" --settings "$RUN/daemon-$1.json"
  DAEMON_PID[$1]=$!
}

declare -A DAEMON_PID

fleet_start() {
  mkdir -p "$RUN"
  head -c 32 /dev/urandom | sha256sum | cut -d' ' -f1 > "$RUN/operator.key"
  tr -d '\n' < "$RUN/operator.key" | sha256sum | cut -d' ' -f1 > "$RUN/operator.digest"
  head -c 32 /dev/urandom | sha256sum | cut -d' ' -f1 > "$RUN/instance.secret"
  write_directory
  fleet_run store "$BIN/daisydrift-standin" store --port $STORE_PORT
  fleet_run directory "$BIN/daisydrift-standin" directory --port $DIRECTORY_PORT --file "$RUN/directory.json"
  for ((i = 0; i < WORKERS; i += RACK)); do
    local count=$((WORKERS - i < RACK ? WORKERS - i : RACK)) cores=16
    [ $i -ge $((WORKERS / 2)) ] && cores=32
    fleet_run "workers-$i" "$BIN/daisydrift-standin" workers --port "$(worker_port $i)" --count $count --cores $cores
  done
  for ((i = 0; i < UPSTREAMS; i += 10)); do
    local count=$((UPSTREAMS - i < 10 ? UPSTREAMS - i : 10))
    fleet_run "upstreams-$i" "$BIN/daisydrift-standin" upstreams --port "$(upstream_port $i)" --count $count
  done
  for ((i = 0; i < INSTANCES; i++)); do
    start_daemon $i
  done
}

# Stops the processes that fleet_run started, and no others.
fleet_stop() {
  # Signals only the running jobs of this shell: ids of exited processes may have been reused by other processes.
  local running
  running=$(jobs -pr)
  if [ -n "$running" ]; then
    # shellcheck disable=SC2086
    kill $running 2> /dev/null || true
    for _ in $(seq 50); do
      [ -z "$(jobs -pr)" ] && break
      sleep 0.1
    done
    running=$(jobs -pr)
    # shellcheck disable=SC2086
    [ -n "$running" ] && kill -KILL $running 2> /dev/null
  fi
  wait 2> /dev/null || true
  PIDS=()
}
