# Sourced by the cases' run.sh: starts the stand-in of the store, renders the
# deploy file's template of settings for each node, and plays one case.
# play CASE NODE:ZONE... runs in the folder of the case.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
bin=$root/build-review-2
store_pid=''
play_pid=''
lock=''
work=$(mktemp -d)

finish() {
	[ -z "$play_pid" ] || kill "$play_pid" 2>/dev/null || :
	[ -z "$store_pid" ] || kill "$store_pid" 2>/dev/null || :
	wait 2>/dev/null || :
	rm -rf "$work"
	[ -z "$lock" ] || rmdir "$lock"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP

# Writes the settings of node number $1, name $2, zone $3.
settings() {
	sed -e "s/{{nodeName}}/$2/" -e "s/{{zone}}/$3/" \
		-e 's/{{region}}/region-1/' \
		-e "s/{{listenAddrs.datagramAddr}}/127.$net.1.$1:$port/" \
		-e "s/{{listenAddrs.readyAddr}}/127.$net.1.$1:$((port + 1))/" \
		-e "s/{{ip}}/127.$net.1.$1/" \
		-e "s/{{internalPorts.0}}/$((port + 2))/" \
		-e "s/{{seeds}}/127.$net.1.1:$((port + 1)),127.$net.1.2:$((port + 1))/" \
		-e 's/{{limits.linkMbps}}/1000/' \
		-e "s/{{platform.address}}/127.$net.0.1:$((port + 3))/" \
		"$root/deploy/settings.yaml.tmpl" >"$work/$2.yaml"
}

# Chooses a network 127.$net.0.0 of which no address is in use; the port of the
# nodes' metrics is fixed in the template. The lock keeps it from other scripts
# that start at the same time.
choose_net() {
	until mkdir "${TMPDIR:-/tmp}/review-net-$net" 2>/dev/null; do
		next_net
	done
	lock=${TMPDIR:-/tmp}/review-net-$net
	if grep -qE " [0-9A-F]{4}$(printf %02X "$net")7F:" \
		/proc/net/tcp /proc/net/udp; then
		rmdir "$lock"
		lock=''
		next_net
		return 1
	fi
}

next_net() {
	net=$((20 + (net - 19) % 200))
	tries=$((tries + 1))
	[ "$tries" -lt 400 ] || exit 2
}

play() {
	case_name=$1
	shift
	net=$((20 + $$ % 200))
	tries=0
	until choose_net; do :; done
	port=$((12000 + $$ % 18000))
	[ -x "$root/target/shallotd" ] && [ -x "$bin/shallotctl" ] &&
		[ -x "$bin/play" ] || exit 2
	number=0
	for node in "$@"; do
		number=$((number + 1))
		settings "$number" "${node%%:*}" "${node##*:}"
	done
	"$bin/shallotctl" stand-in --store "127.$net.0.1:$((port + 3))" \
		>"$work/store.log" 2>&1 &
	store_pid=$!
	code=0
	"$bin/play" "$case_name" "$root/target/shallotd" "$work" "$port" \
		"$net" "$@" &
	play_pid=$!
	wait "$play_pid" || code=$?
	play_pid=''
	[ ! -f "$work/record.txt" ] || cp "$work/record.txt" "$here/record.txt"
	[ -z "${KEEP_LOGS:-}" ] || cp "$work"/*.log "$KEEP_LOGS"/
	case $code in
	0 | 1) exit "$code" ;;
	*) exit 2 ;;
	esac
}
