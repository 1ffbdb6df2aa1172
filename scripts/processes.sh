# Sourced by the other scripts: starts processes, remembers their ids, ends just these.
# Needs: $work, a folder for logs.
declare -A pids=()

# start NAME COMMAND...: runs it in the background, output to $work/NAME.log.
start() {
  local name=$1; shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# stop NAME [SECONDS]: SIGTERM, then SIGKILL after SECONDS.  Returns the exit code.
stop() {
  local name=$1 seconds=${2:-20} pid=${pids[$1]:-}
  [ -z "$pid" ] && return 0
  unset "pids[$name]"
  kill -TERM "$pid" 2>/dev/null
  for _ in $(seq $((seconds * 10))); do
    kill -0 "$pid" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL "$pid" 2>/dev/null && echo "$name did not stop within $seconds s" >&2
  wait "$pid" 2>/dev/null
}

# kill_now NAME: SIGKILL.
kill_now() {
  local pid=${pids[$1]:-}
  [ -z "$pid" ] && return 0
  unset "pids[$1]"
  kill -KILL "$pid" 2>/dev/null
  wait "$pid" 2>/dev/null
  return 0
}

# send_signal NAME SIGNAL
send_signal() { kill "-$2" "${pids[$1]}"; }

stop_all() {
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null
    kill -KILL "${pids[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
}

# wait_until SECONDS WHAT COMMAND...: repeats the command until it succeeds.
wait_until() {
  local seconds=$1 what=$2; shift 2
  local last=$((SECONDS + seconds))
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $last ]; then echo "waited $seconds s in vain for $what" >&2; return 1; fi
    sleep 0.1
  done
}

answers() { curl -sf -m 2 -o /dev/null "$1"; }

rows=()
violations=0
# check WHAT EXPECTED ACTUAL: one row of the table; unequal counts as violation.
check() {
  local verdict=held
  if [ "$2" != "$3" ]; then verdict=VIOLATED; violations=$((violations + 1)); fi
  rows+=("$(printf '%-62s %-22s %-22s %s' "$1" "$2" "$3" "$verdict")")
}

print_table() {
  printf '%-62s %-22s %-22s %s\n' "what" "expected" "seen" "verdict"
  printf '%s\n' "${rows[@]}"
}

# The processes of samples/02-two-routers, from folder $bin; extra settings of the routers from
# $router_extra and of the announced VMs from $vms_extra, jq expressions.  The ports of the samples begin with 24; PORT_PREFIX sets another
# beginning, so that two runs can go on side by side.
prefix=${PORT_PREFIX:-24}
samples=$work/samples
cp -r samples "$samples"
grep -rl '127\.0\.0\.1:24' "$samples" | xargs sed -i "s/127\.0\.0\.1:24/127.0.0.1:$prefix/g"
platform=127.0.0.1:${prefix}300
service=127.0.0.1:${prefix}201
routers=("127.0.0.1:${prefix}001" "127.0.0.1:${prefix}011")
operators=("127.0.0.1:${prefix}002" "127.0.0.1:${prefix}012")
engine() { echo "127.0.0.1:${prefix}10$1"; }
token_ms=(0 5 8 13 20)
first_token_ms=(0 30 45 70 100)

start_engine() {
  start "engine-$1" "$bin/standin-engine" --listen "$(engine "$1")" --models forecast-7b,contracts-13b \
    --first-token-ms "${first_token_ms[$1]}" --token-ms "${token_ms[$1]}" --slots 8 \
    --cache-entries 64 --report-lag-ms 500 --longest 64
}

start_standins() {
  start platform "$bin/standin-platform" --listen "$platform"
  start city-1 "$bin/standin-service" --listen "$service" --name city --delay-ms 20
  for number in 1 2 3 4; do start_engine "$number"; done
}

start_router() {
  jq "${router_extra:-.}" "$samples/02-two-routers/router-$1.json" >"$work/router-$1.json"
  start "router-$1" "$bin/hawthornnotch-router" --settings "$work/router-$1.json"
}

start_agent() { start "agent-$1" "$bin/hawthornnotch-agent" --settings "$samples/02-two-routers/agent-$1.json"; }

ctl() { "$bin/hawthornnotchctl" --settings "$samples"/02-two-routers/hawthornnotchctl.json "$@"; }

# ports_are_free: nobody else's processes answer where ours will.
ports_are_free() {
  local address
  for address in "$platform" "$service" "${routers[@]}" "${operators[@]}" "$(engine 1)"; do
    if (exec 3<>"/dev/tcp/${address%:*}/${address#*:}") 2>/dev/null; then
      echo "$address is in use; set PORT_PREFIX to two other digits" >&2
      return 1
    fi
  done
}

# start_fleet: everything, announced and configured, both routers ready.
start_fleet() {
  ports_are_free || return 1
  start_standins
  wait_until 10 "the platform stand-in" answers "http://$platform/standin/counters" || return 1
  for number in 1 2; do start_agent "$number"; start_router "$number"; done
  jq "${vms_extra:-.}" "$samples"/02-two-routers/vms.json >"$work/vms.json"
  ctl vm announce "$work/vms.json" || return 1
  local folder
  for folder in 03-poledica/templates/dispatch 04-roundabout/templates/counter \
    03-poledica/workspaces/poledica-dispatch 04-roundabout/workspaces/roundabout-counter; do
    ctl config set "$samples/$folder.json" || return 1
  done
  for number in 0 1; do
    wait_until 20 "router $number" answers "http://${operators[$number]}/readyz" || return 1
    wait_until 20 "models at router $number" knows_models "$number" || return 1
  done
}

knows_models() {
  curl -sf -m 2 "http://${routers[$1]}/v1/models" -H 'x-hawthornnotch-workspace: poledica-dispatch' |
    jq -e '.data | length > 0'
}

# fault ADDRESS JSON: switches a fault at a stand-in.
fault() { curl -sf -m 2 -o /dev/null -X POST "http://$1/standin/fault" -d "$2"; }
counters() { curl -sf -m 5 "http://$1/standin/counters"; }

# call ROUTER CLASS PATH [curl arguments...]: body to standard output, then a line with the status.
call() {
  local router=$1 class=$2 path=$3; shift 3
  curl -s -N -m 30 -w '\n%{http_code}\n' "http://$router$path" -H 'Content-Type: application/json' \
    -H 'x-hawthornnotch-workspace: poledica-dispatch' -H "x-hawthornnotch-class: $class" "$@"
}

# broken_off NAME: requests of a load that ended `unknown`, repeats of orders included.  A repeat whose
# first is still in progress is told so; that is its promised outcome and no break.
broken_off() {
  jq '[.errors | to_entries[] | select(.key | endswith(" unknown"))
       | select(.key | endswith(" in_progress unknown") | not) | .value] | add // 0' "$work/$1.json"
}
