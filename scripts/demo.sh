#!/usr/bin/env bash
# Starts a fleet of local processes on 127.0.0.1, uses it through the command line, drains a failure domain, kills the
# leader instance, and checks the histories recorded by workers, upstreams and callers. Exits non-zero when accepted
# work was lost or ran twice, or an invariant was violated. Usage: demo.sh BUILD_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$1/bin
RUN=$(mktemp -d)
# shellcheck source=scripts/fleet.sh
source scripts/fleet.sh
finish() {
  fleet_stop
  if [ -n "${KEEP_RUN:-}" ]; then echo "files of the run: $RUN"; else rm -rf "$RUN"; fi
}
trap finish EXIT

HISTORY=$RUN/callers.history
: > "$HISTORY"
now_ms() { awk '{printf "%d", $1 * 1000}' /proc/uptime; }
record() { echo "event=$1 at_ms=$(now_ms) ${*:2}" >> "$HISTORY"; }
say() { printf '\n== %s\n' "$*"; }

SERVERS=()
for ((i = 0; i < INSTANCES; i++)); do SERVERS+=(--server "127.0.0.1:$(operators_port $i)"); done
op() { "$BIN/daisydrift" "$@" "${SERVERS[@]}" --key-file "$RUN/operator.key"; }
team() { local key=$1; shift; "$BIN/daisydrift" "$@" "${SERVERS[@]}" --key-file "$RUN/$key.key"; }
field() { grep -o "\"$1\": *\"[^\"]*\"" | head -1 | sed 's/.*: *"//; s/"$//'; }

say "starting 1 store, 1 list of instances, $WORKERS workers, $UPSTREAMS upstreams, $INSTANCES instances"
fleet_start
for _ in $(seq 300); do
  ready=$(op status-fleet --output json 2> /dev/null | grep -o '"answers": *true' | wc -l || true)
  [ "$ready" -ge "$INSTANCES" ] && op status-fleet --output json 2> /dev/null | grep -q '"leader": *"' && break
  sleep 0.1
done
op status-fleet

say "teams, failure domains, services and keys"
for domain in "${DOMAINS[@]}"; do op domains put "$domain" --region "$REGION" > /dev/null; done
cat > "$RUN/teams.csv" <<'CSV'
team,weight,milli_cores,memory_mib,accelerators,max_running_tasks,open_queue
bursary,3,400000,800000,0,300,no
engraving,2,400000,800000,0,300,no
CSV
op teams apply "$RUN/teams.csv" --wait
record ceiling team=bursary tasks=300 milli_cores=400000 memory_mib=800000 accelerators=0
record ceiling team=engraving tasks=300 milli_cores=400000 memory_mib=800000 accelerators=0
op services put bursary-desk --slots 8 --connections 64 --team bursary > /dev/null
op services put engraving-desk --slots 8 --connections 64 --team engraving --wait > /dev/null
for name in bursary engraving; do
  record key_issued "key=$name team=$name"
  op keys issue "$name" --output json | field key > "$RUN/$name.key"
done
op teams export
sleep 1.5

say "interactive requests through all instances"
requests() {
  local service=$1 key=$2 prefix=$3 count=$4
  for ((n = 0; n < count; n++)); do
    local id=$prefix-$n status=0
    record request_sent "request=$id repeatable=false team=$key key=$key"
    team "$key" request "$service" "/check?rid=$id&work_ms=5" > "$RUN/answer-$prefix" 2> "$RUN/error-$prefix" || status=$?
    if [ $status -eq 0 ] && grep -q "\"request_id\":\"$id\"" "$RUN/answer-$prefix"; then
      record request_answered "request=$id status=200 outcome=ran complete=true"
    elif grep -q not_run "$RUN/error-$prefix"; then
      record request_answered "request=$id status=503 outcome=not_run complete=true"
    else
      record request_answered "request=$id status=504 outcome=unknown complete=true"
    fi
  done
}
requests bursary-desk bursary check 40
requests engraving-desk engraving preview 40
echo "answered: $(grep -c 'outcome=ran' "$HISTORY") of $(grep -c 'event=request_sent' "$HISTORY")"

say "a batch job, a gang and a service"
submit() {
  local key=$1 name=$2
  local job
  job=$(team "$key" submit "$RUN/$name.json" --output json | field job)
  record submission "submission=$name verdict=accepted team=$key key=$key"
  echo "$job" > "$RUN/$name.job"
  echo "$name: $job"
}
cat > "$RUN/stipends.json" <<'JOB'
{ // The stipends of one term.
  "name": "stipends", "class": "batch", "tasks": 300, "size": { "milli_cores": 1000, "memory_mib": 1024 },
  "run_time_ms": 2000, "payload": { "run_ms": 2000, "team": "bursary" } }
JOB
cat > "$RUN/toolpath.json" <<'JOB'
{ "name": "toolpath", "class": "gang", "tasks": 16, "size": { "milli_cores": 4000, "memory_mib": 4096 },
  "payload": { "run_ms": 4000, "team": "engraving" } }
JOB
cat > "$RUN/watcher.json" <<'JOB'
{ "name": "watcher", "class": "service", "tasks": 6, "size": { "milli_cores": 500, "memory_mib": 512 },
  "payload": { "run_ms": 0, "team": "bursary" } }
JOB
submit bursary watcher
submit engraving toolpath
submit bursary stipends
again=$(team bursary submit "$RUN/stipends.json" --idempotency-key repeated --output json | field job)
twice=$(team bursary submit "$RUN/stipends.json" --idempotency-key repeated --output json | field job)
echo "the same submission twice: $again and $twice"
echo "$again" > "$RUN/repeated.job"
[ "$again" = "$twice" ] || { echo "FAILED: one idempotency key gave two jobs"; exit 1; }
if team bursary submit "$RUN/watcher.json" --idempotency-key repeated; then
  echo "FAILED: one idempotency key was accepted with another body"
  exit 1
fi
cat > "$RUN/impossible.json" <<'JOB'
{ "name": "impossible", "size": { "milli_cores": 64000, "memory_mib": 1024 } }
JOB
team bursary submit "$RUN/impossible.json" || echo "refused, as it must be"
sleep 1

say "failure domain ${DOMAINS[2]} out of service, and the leading instance killed with work in flight"
op domains drain "${DOMAINS[2]}" --wait
record domain_drained "domain=${DOMAINS[2]}"
leader_id=$(op status-fleet --output json | field leader)
leader=$(grep -l "event=started instance=$leader_id" "$RUN"/daemon-*.log | sed 's/.*daemon-\([0-9]*\).log/\1/')
requests bursary-desk bursary during 60 &
REQUESTS=$!
sleep 0.3
record instance_crashed "instance=$leader_id"
kill -KILL "${DAEMON_PID[$leader]}"
echo "killed instance $leader ($leader_id)"
wait $REQUESTS
sleep 3
op status-fleet

say "one instance stopped as planned, with requests under way"
stopping=$(((leader + 1) % INSTANCES))
stopping_id=$(sed -n 's/.*event=started instance=\([0-9a-f]*\).*/\1/p' "$RUN/daemon-$stopping.log")
requests engraving-desk engraving planned 60 &
REQUESTS=$!
sleep 0.3
record instance_stop_planned "instance=$stopping_id"
kill -TERM "${DAEMON_PID[$stopping]}"
wait $REQUESTS
while kill -0 "${DAEMON_PID[$stopping]}" 2> /dev/null; do sleep 0.1; done
record instance_stopped "instance=$stopping_id"
grep 'event=stopped' "$RUN/daemon-$stopping.log" | sed 's/.*event=/event=/'

say "waiting for accepted work"
FAILED=0
for name in toolpath stipends repeated; do
  key=bursary
  [ $name = toolpath ] && key=engraving
  job=$(cat "$RUN/$name.job")
  state=""
  for _ in $(seq 240); do
    state=$(team $key status "$job" --output json 2> /dev/null | field state || true)
    [ "$state" = succeeded ] || [ "$state" = failed ] && break
    sleep 0.25
  done
  printf '%-10s %-14s %s\n' "$name" "$job" "$state"
  [ "$state" = succeeded ] || FAILED=1
done
team bursary explain "$(cat "$RUN/watcher.job")" || true
team bursary jobs
op domains return "${DOMAINS[2]}" --wait
record domain_returned "domain=${DOMAINS[2]}"
op audit | tail -n 5
op audit verify

say "what workers, upstreams and callers saw"
# Takes configuration edits and their adoption by each instance from the logs. Their wall-clock times are converted to
# the machine's monotonic clock, which all other events use.
wall_offset=$(($(date +%s%3N) - $(now_ms)))
log_event() {
  local time
  time=$(sed 's/.*time=\([^ ]*\) .*/\1/' <<< "$1")
  echo "event=$2 at_ms=$(($(date -d "$time" +%s%3N) - wall_offset)) ${*:3}" >> "$HISTORY"
}
for log in "$RUN"/daemon-*.log; do
  id=$(sed -n 's/.*event=started instance=\([0-9a-f]*\).*/\1/p' "$log")
  while read -r line; do log_event "$line" instance_started "instance=$id"; done < <(grep 'event=started ' "$log")
  while read -r line; do
    log_event "$line" config_in_force "instance=$id" "version=${line##*version=}"
  done < <(grep 'event=configuration_adopted' "$log")
  while read -r line; do
    version=$(sed 's/.* version=\([0-9]*\).*/\1/' <<< "$line")
    log_event "$line" edit_accepted "version=$version"
  done < <(grep 'event=configuration_edit .*result=accepted' "$log")
done
"$BIN/daisydrift-standin" collect --file "$RUN/directory.json" > "$RUN/seen.history"
record end
cat "$RUN/seen.history" "$HISTORY" > "$RUN/all.history"
"$BIN/daisydrift-check-history" "$RUN/all.history" || FAILED=1
printf '\n%-28s %s\n' "requests sent" "$(grep -c event=request_sent "$HISTORY")"
printf '%-28s %s\n' "  answered by an upstream" "$(grep -c outcome=ran "$HISTORY")"
printf '%-28s %s\n' "  refused, not run" "$(grep -c outcome=not_run "$HISTORY" || true)"
printf '%-28s %s\n' "  outcome unknown" "$(grep -c outcome=unknown "$HISTORY" || true)"
printf '%-28s %s\n' "jobs accepted" "4 and 1 repeated submission"
printf '%-28s %s\n' "jobs refused" "2 (key reused with another body; no worker is large enough)"
say "store"
exec 3<> "/dev/tcp/127.0.0.1/$STORE_PORT"
printf 'GET /v1/stats HTTP/1.0\r\n\r\n' >&3
tail -n 1 <&3
echo
[ $FAILED -eq 0 ] && echo "demo: passed" || { echo "demo: FAILED"; exit 1; }
