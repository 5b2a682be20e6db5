# Functions that the cases share. A case sets -u, cds to its folder and sources this file. Exit codes: 1 the rule was broken, 0 it
# held, 2 the case could not run.
if [ -z "${REVIEW_LIMIT:-}" ]; then # a case that takes too long counts as one that could not run
	REVIEW_LIMIT=1 exec timeout --preserve-status -k 20 98 bash ./run.sh
fi
trouble=${TROUBLE:-1}
bin=$(cd ../../bin 2> /dev/null && pwd)
standin=$(cd ../bin 2> /dev/null && pwd)/standin
record=$PWD/record.txt
work=$(mktemp -d)
declare -A pids=()
: > "$record"

note() { echo "$(date -u +%H:%M:%S.%3N) $*" >> "$record"; }

# cannot_run ends the case as one that could not run.
cannot_run() {
	note "the case could not run: $*"
	echo "the case could not run: $*" >&2
	exit 2
}

# finish ends all processes that the case started. It is called at every exit.
finish() {
	local code=$? pid
	trap - EXIT
	for pid in "${pids[@]}" $(jobs -p); do
		kill -CONT "$pid" 2> /dev/null
		pkill -KILL -P "$pid" 2> /dev/null
		kill -KILL "$pid" 2> /dev/null
	done
	wait 2> /dev/null
	rm -rf "$work"
	exit "$code"
}
trap finish EXIT
trap 'exit 2' TERM INT

[ -x "$bin/silvercovectl" ] || cannot_run "bin/silvercovectl is missing: build as deploy/balancer.toml says"
[ -x "$standin" ] || cannot_run "review/bin/standin is missing: run review/build.sh"

# start NAME starts one process of the fleet, with its file and folder.
start() {
	local process=relay
	case $1 in
	keeper-*) process=controller ;;
	edge-*) process=node ;;
	esac
	(cd "$work/vans" && exec "$bin/silvercovectl" fleet "$process" "$1.conf" 2>> "$work/$1.log") &
	pids[$1]=$!
	note "started $1 (process ${pids[$1]})"
}

# crash NAME kills a process outright.
crash() {
	kill -KILL "${pids[$1]}"
	wait "${pids[$1]}" 2> /dev/null
	unset "pids[$1]"
	note "killed $1"
}

ctl() { "$bin/silvercovectl" fleet "$@"; }

# show prints the instance's line of "fleet show" in fields: owner epoch state holders to.
show() {
	ctl show "$work/vans/relay-1.conf" 2> /dev/null | awk -v name="$1" '
		$1 == "instance" { for (i = 1; i <= NF; i++) at[$i] = index($0, $i); seen = 1; next }
		seen && $1 == name {
			owner = field("owner", "epoch"); epoch = field("epoch", "state"); state = field("state", "holders")
			holders = field("holders", "to"); to = field("to", "why")
			print owner "|" epoch "|" state "|" holders "|" to
		}
		function field(from, next_one,   text) {
			text = substr($0, at[from], at[next_one] - at[from]); gsub(/ +/, "", text); return text
		}'
}

# wait_for SECONDS COMMAND... waits until the command succeeds.
wait_for() {
	local end=$((SECONDS + $1))
	shift
	until "$@"; do
		[ "$SECONDS" -lt "$end" ] || return 1
		sleep 0.2
	done
}

# begin_fleet writes the files of the project's example of a small fleet (three controllers, four edge nodes, two relays) on free
# ports and starts all processes. If the variable lease is set, the files have that lease. If the variable behind names an edge node, all links from and to it pass a proxy:
# cut_links cuts them, heal_links makes them whole.
begin_fleet() {
	local port
	port=$("$standin" ports 30) || cannot_run "no free ports"
	(cd "$work" && ctl example vans --port "$port") || cannot_run "fleet example"
	if [ -n "${lease:-}" ]; then sed -i "s/^  name vans/  name vans\n  lease $lease/" "$work"/vans/*.conf; fi
	if [ -n "${behind:-}" ]; then place_links "$((port + 15))"; fi
	for n in keeper-1 keeper-2 keeper-3 edge-a edge-b edge-c edge-d relay-1 relay-2; do start "$n"; done
	wait_for 40 all_ready || cannot_run "the edge nodes have no leases"
	relay1=$(awk '$1 == "clients" { print $2 }' "$work/vans/relay-1.conf")
	relay2=$(awk '$1 == "clients" { print $2 }' "$work/vans/relay-2.conf")
}

# place_links PORT puts a link with a port after PORT before each address at which the node $behind reaches another process, and
# before each at which another process reaches it. What it sends to edge nodes of another zone, and their answers, take the time
# in the variable between_zones.
place_links() {
	local port=$1 file role zone address commands own own_zone delay
	own_zone=$(awk '$1 == "zone" { print $2 }' "$work/vans/$behind.conf")
	own=$(awk '$1 == "listen" { print $2 }' "$work/vans/$behind.conf")
	commands=$(awk -v n="$behind" '$1 == "commands" && $2 == n { print $3 }' "$work/vans/$behind.conf")
	while read -r role zone address; do
		port=$((port + 1))
		delay=0s
		[ "$role" = edge ] && [ "$zone" != "$own_zone" ] && delay=${between_zones:-0s}
		echo "127.0.0.1:$port $address $delay" >> "$work/links"
		sed -i "s/^\(  peer .* \)$address\$/\1127.0.0.1:$port/" "$work/vans/$behind.conf"
	done < <(awk '$1 == "peer" { print $3, $4, $5 }' "$work/vans/$behind.conf")
	for address in "$own" "$commands"; do
		port=$((port + 1))
		echo "127.0.0.1:$port $address 0s" >> "$work/links"
		for file in "$work"/vans/*.conf; do
			[ "$file" = "$work/vans/$behind.conf" ] || sed -i "/^  \(peer\|commands\) $behind /s/$address\$/127.0.0.1:$port/" "$file"
		done
	done
	"$standin" links "$work/links" > "$work/links.out" &
	pids[links]=$!
	wait_for 5 grep -q ready "$work/links.out" || cannot_run "the links do not listen"
}

cut_links() {
	kill -USR1 "${pids[links]}"
	note "cut all links of $behind"
}

heal_links() {
	kill -USR2 "${pids[links]}"
	note "the links of $behind are whole again"
}

# create NAME UNIT creates an instance.
create() { ctl create "$work/vans/relay-1.conf" "$1" "$2" north 5 >> "$record" 2>&1; }

# ask ... sends one request to a relay as the project's client, and prints the answer.
ask() { ctl ask "$@" 2>> "$record"; }

# last_entry NAME prints the index of the instance's last entry, as a client reads it.
last_entry() { ask --read --op-type look --for 20s "$relay1" "$1" | awk '{ print $1 }'; }

# all_ready succeeds if all four edge nodes have a lease.
all_ready() { [ "$(ctl show "$work/vans/relay-1.conf" 2> /dev/null | grep -c '^edge-.* held ')" = 4 ]; }

# has_holder NAME succeeds if the instance runs and has a holder beside its owner, and no copy is under way.
has_holder() {
	local owner epoch state holders to
	IFS='|' read -r owner epoch state holders to <<< "$(show "$1")"
	[ "$state" = runs ] && [ -n "$holders" ] && [ -z "$to" ]
}
