#!/bin/bash
# Emulates the loss and recovery of a site for a minute: runs three emulated sites with clients and a cluster of three
# directors on this machine. Prints the results of the clients and any violated invariant; exits with code 1 if there is
# one.
# Logs and data folders are in target/sites. Needs target/pewtercourse.jar.
# Try meanwhile, in another shell:
#   java -jar target/pewtercourse.jar sites status --admin 127.0.0.1:9101
set -e
cd "$(dirname "$0")/.."
rm -rf target/sites
mkdir -p target/sites
emulator=
directors=
trap 'kill $emulator $directors 2>/dev/null || true' EXIT
java -jar target/pewtercourse.jar emulate examples/site-loss.json --into target/sites &
emulator=$!
until [ -f target/sites/director-edge-3.json ]; do sleep 0.1; done
sleep 0.5
# The capacity of each site is that of its caches in examples/site-loss.json: 3 or 4 caches of 6 transfers each. The
# links of the emulated caches have no bandwidth limit.
sed -e 's/"capacity": 40/"capacity": 18/; s/"capacity": 60/"capacity": 24/; s/, "link": [0-9]*//' \
  deploy/sites.json >target/sites/sites.json
if [ "$(grep -c '"capacity": \(18\|24\)' target/sites/sites.json)" != 3 ]; then
  echo "examples/sites.sh: deploy/sites.json no longer has the capacities that are replaced here" >&2
  exit 1
fi
for i in 1 2 3; do
  file=target/sites/d$i.json
  sed -e "s/^  \"name\": \"d1\"/  \"name\": \"d$i\"/" -e "s/7001\",\$/700$i\",/" \
    -e "s#/var/lib/pewtercourse/d1#target/sites/d$i#" deploy/cluster.json >"$file"
  java -jar target/pewtercourse.jar cluster init "$file"
  GW_CONFIG=target/sites/director-edge-$i.json GW_ADMIN_ADDR=127.0.0.1:910$i GW_CLUSTER=$file GW_SITES=target/sites/sites.json \
    java -Xmx96m -jar target/pewtercourse.jar serve 2>"target/sites/d$i.log" &
  directors="$directors $!"
done
wait $emulator
