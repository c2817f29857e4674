#!/bin/bash
# Upgrades a cluster of three directors from one build to another and back, one member at a time, while operators'
# commands are proposed. Exit code 1 if a step fails, a member logs an error or the builds read a data folder differently.
#   bash examples/rolling-upgrade.sh OLD.jar NEW.jar
# Data folders and logs are in target/rolling-upgrade. Needs curl.
set -u
cd "$(dirname "$0")/.."
[ $# = 2 ] || { sed -n 2,5p "$0" >&2; exit 2; }
old=$(realpath "$1")
new=$(realpath "$2")
folder=target/rolling-upgrade
wait_steps=300 # of 0.2 s each
rm -rf "$folder"
mkdir -p "$folder"
pids=()
trap 'kill "${pids[@]}" $proposer 2>/dev/null' EXIT
proposer=

fail() {
  echo "failed: $*" >&2
  exit 1
}

admin() { echo "127.0.0.1:920$1"; }

# A member's status as one line without blanks.
status() { curl -s -m 5 "http://$(admin "$1")/cluster/status" | tr -d " \n"; }

# field NUMBER KEY: prints a text or number of the status of member NUMBER.
field() { status "$1" | sed -n "s/.*\"$2\":\"\{0,1\}\([^\",}]*\).*/\1/p"; }

holder() { status "$1" | sed -n "s/.*\"duty\":\"$2\",\"holder\":\"\([^\"]*\)\".*/\1/p"; }

# await TEXT COMMAND...: repeats the command until it succeeds; after the time limit, fails with TEXT.
await() {
  local what=$1
  shift
  for _ in $(seq $wait_steps); do
    "$@" && return 0
    sleep 0.2
  done
  fail "$what"
}

knows_leader() { status "$1" | grep -q '"leader":"d'; }

leads() { [ "$(field "$1" leader)" = "d$2" ]; }

holds() { [ "$(holder "$1" "$2")" = "d$3" ]; }

agrees_with_leader() {
  local leader
  leader=$(field "$1" leader)
  [ -n "$leader" ] && [ "$leader" != null ] && [ "$(field "$1" applied)" -ge "$(field "${leader#d}" commit)" ]
}

start() {
  local number=$1 jar=$2 config=$folder/d$1.json
  GW_CONFIG=examples/config.json GW_LISTEN=127.0.0.1:854$number GW_ADMIN_ADDR=$(admin "$number") GW_CLUSTER=$config \
    TMPDIR=$folder/d$number-tmp java -Xmx96m -jar "$jar" serve 2>>"$folder/d$number.log" &
  pids[number]=$!
  await "member $number knows no leader" knows_leader "$number"
  await "member $number does not catch up" agrees_with_leader "$number"
}

replace() {
  kill -TERM "${pids[$1]}"
  wait "${pids[$1]}"
  start "$1" "$2"
}

# Repeatedly drains and reinstates a cache through each member in turn and records the HTTP status of each answer.
propose() {
  local number=0 action code
  while true; do
    number=$((number % 3 + 1))
    for action in enter exit; do
      code=$(curl -s -m 5 -o /dev/null -w '%{http_code}' -X POST -d '{"target":"s-00000001"}' \
        "http://$(admin $number)/maintenance/$action")
      echo "$code" >>"$folder/proposals"
      sleep 0.05
    done
  done
}

agreed() { grep -c '^200$' "$folder/proposals"; }

# hand_on JAR LEASE MEMBER: makes the holder hand the lease to the member, unless the member holds it already.
hand_on() {
  holds "$3" "$2" "$3" && return 0
  java -jar "$1" cluster hand-on "$2" --to "d$3" --admin "$(admin "$3")" >/dev/null 2>&1
  sleep 1
  holds "$3" "$2" "$3"
}

# transfer_to JAR MEMBER: makes the leader transfer the leadership to the member, unless the member leads already.
transfer_to() {
  local leader
  leader=$(field "$2" leader)
  [ "$leader" = "d$2" ] && return 0
  [ -n "$leader" ] && [ "$leader" != null ] || return 1
  java -jar "$1" cluster transfer --to "d$2" --admin "$(admin "${leader#d}")" >/dev/null 2>&1
  sleep 1
  leads "$2" "$2"
}

# move_leadership JAR MEMBER...: gives the leadership and both leases to each member in turn. The first member runs the
# build that was just started.
move_leadership() {
  local to jar=$1
  shift
  for to in "$@"; do
    await "the leadership is not transferred to d$to" transfer_to "$jar" "$to"
    for lease in maintenance quota; do
      await "lease $lease does not move to d$to" hand_on "$jar" "$lease" "$to"
    done
    local before
    before=$(agreed)
    await "nothing is agreed while d$to leads" eval "[ \"\$(agreed)\" -gt $((before + 3)) ]"
    echo "  d$to leads and holds both leases; $(agreed) proposals agreed of $(wc -l <"$folder/proposals")"
  done
}

for number in 1 2 3; do
  mkdir -p "$folder/d$number-tmp"
  sed -e "s/^  \"name\": \"d1\"/  \"name\": \"d$number\"/" -e "s/700\([123]\)\"/710\1\"/" \
    -e "s/\"listen\": \"127.0.0.1:7101\"/\"listen\": \"127.0.0.1:710$number\"/" \
    -e "s#/var/lib/pewtercourse/d1#$folder/d$number#" deploy/cluster.json >"$folder/d$number.json"
  java -jar "$old" cluster init "$folder/d$number.json" || fail "no data folder for d$number"
done
start_all() {
  local number
  for number in 1 2 3; do
    GW_CONFIG=examples/config.json GW_LISTEN=127.0.0.1:854$number GW_ADMIN_ADDR=$(admin $number) \
      GW_CLUSTER=$folder/d$number.json TMPDIR=$folder/d$number-tmp \
      java -Xmx96m -jar "$old" serve 2>>"$folder/d$number.log" &
    pids[number]=$!
  done
}
start_all
for number in 1 2 3; do
  await "member $number knows no leader" knows_leader "$number"
done
echo "three members of the old build agree"
: >"$folder/proposals"
propose &
proposer=$!

for step in "1 2" "2 3" "3 1"; do
  number=${step% *}
  replace "$number" "$new"
  echo "d$number runs the new build"
  move_leadership "$new" "$number" "${step#* }"
done
for step in "1 2" "2 3" "3 1"; do
  number=${step% *}
  replace "$number" "$old"
  echo "d$number runs the old build again"
  move_leadership "$old" "$number" "${step#* }"
done

kill "$proposer"
for number in 1 2 3; do
  kill -TERM "${pids[$number]}"
  wait "${pids[$number]}"
done
pids=()
for number in 1 2 3; do
  java -jar "$old" cluster inspect "$folder/d$number" >"$folder/inspect-old-$number" || fail "the old build can't read d$number"
  java -jar "$new" cluster inspect "$folder/d$number" >"$folder/inspect-new-$number" || fail "the new build can't read d$number"
  cmp "$folder/inspect-old-$number" "$folder/inspect-new-$number" || fail "the builds read d$number differently"
done
if grep -E ' ERROR |unexpected|stranger|regressed|disk_failed' "$folder"/d?.log; then
  fail "a member logged an error"
fi
sort "$folder/proposals" | uniq -c | sed 's/^ */answers to proposals: /'
echo "passed: upgraded and downgraded, folders read alike by both builds"
