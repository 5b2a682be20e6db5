# Functions that the cases share; run.sh sources this file. The exit status of a case is 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run.
set -uo pipefail
if [ -z "${LIMITED-}" ]; then # no case takes longer than 100 s, and 15 s more if it can't end in order
  LIMITED=1 timeout --foreground -k 15 100 "$0"
  status=$?
  case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
fi
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
CTL=$ROOT/bin/silvercovectl
PARTIES=$ROOT/review/bin/parties
STANDINS=$ROOT/review/bin/standins
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
declare -A PIDS=()

finish() {
  local status=$?
  trap - EXIT
  for name in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$name]}" 2>/dev/null
    kill -KILL "${PIDS[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$WORK"
  exit $status
}
trap finish EXIT
trap 'exit 2' INT TERM
say() { echo "$(date +%T.%3N)  $*" | tee -a "$RECORD"; }
give_up() { say "COULD NOT RUN: $*"; exit 2; }

# launch NAME COMMAND...: starts a process; its output goes to NAME.log in the case's folder of this run.
launch() {
  local name=$1
  shift
  "$@" >>"$WORK/$name.log" 2>&1 </dev/null &
  PIDS[$name]=$!
  disown $!
}

# crash NAME: kills a process outright, without any chance to end in order, and waits until it is gone.
crash() {
  kill -KILL "${PIDS[$1]}" || give_up "$1 had ended before it was killed"
  while kill -0 "${PIDS[$1]}" 2>/dev/null; do sleep 0.01; done
  unset "PIDS[$1]"
}

# await SECONDS COMMAND...: waits until a command succeeds.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.1
  done
}

# free_ports COUNT: sets BASE so that the ports BASE+1 to BASE+COUNT are free on loopback.
free_ports() { BASE=$("$PARTIES" ports "$1") || give_up "no free ports"; }

# example_fleet ARGUMENTS...: writes the files of the project's own example fleet to $WORK/fleet, on free ports.
example_fleet() {
  free_ports 100 # some 40 for the example, the others for a link
  "$CTL" fleet example "$WORK/fleet" --port "$BASE" "$@" >/dev/null || give_up "the example's files"
}

# zones_apart MS: each connection between the two zones of the example goes through a link that takes so long each way, as between two sites.
zones_apart() {
  local names process name
  LINKS=()
  names=$(basename -s .conf "$WORK"/fleet/*.conf)
  for process in $names; do
    for name in $names; do
      [ "$(zone_of "$process")" != "$(zone_of "$name")" ] || continue
      through_link "$process" peer "$name"
      [[ $process != relay-* ]] || through_link "$process" commands "$name" # relays alone connect there
    done
  done
  launch link "$PARTIES" link "$1" "${LINKS[@]}"
}

zone_of() { sed -n 's/^ *zone //p' "$WORK/fleet/$1.conf"; }

# through_link PROCESS WORD NAME: the file of a process reaches NAME's address behind WORD through the link
through_link() {
  local address port
  address=$(sed -n "s/^ *$2 $3 .*\b\(127[0-9.:]*\)$/\1/p" "$WORK/fleet/$1.conf")
  [ -n "$address" ] || return 0
  port=$((BASE + 41 + ${#LINKS[@]}))
  sed -i "s/^\( *$2 $3 .*\)$address$/\1127.0.0.1:$port/" "$WORK/fleet/$1.conf"
  LINKS+=("127.0.0.1:$port=$address")
}

# start_fleet: starts each process that has a file in $WORK/fleet, and waits until all edge nodes hold a lease.
start_fleet() {
  local file name role nodes=0
  for file in "$WORK"/fleet/*.conf; do
    name=$(basename "$file" .conf)
    case $name in
      keeper-*) role=controller ;;
      edge-*) role=node nodes=$((nodes + 1)) ;;
      *) role=relay ;;
    esac
    launch "$name" "$CTL" fleet "$role" "$file"
  done
  await 20 leases_held $nodes || {
    tail -n 3 "$WORK"/*.log >>"$RECORD"
    give_up "not all edge nodes hold a lease"
  }
}

leases_held() { [ "$(show | grep -c ' held ')" = "$1" ]; }
show() { "$CTL" fleet show "$WORK/fleet/relay-1.conf" 2>/dev/null; }
clients_of() { sed -n 's/^ *clients //p' "$WORK/fleet/$1.conf"; }

[ -x "$CTL" ] || give_up "build the programs first: deploy/balancer.toml"
[ -x "$PARTIES" ] && [ -x "$STANDINS" ] || give_up "run review/build.sh first"
: >"$RECORD"
say "TROUBLE=$TROUBLE"
