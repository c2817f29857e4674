#!/bin/bash
# A site lost and back: three emulated sites with clients, and three directors that agree, on this machine, for a minute.
# At the end it tells what clients got and whether a rule was broken. Logs and folders are in target/sites.
# Try meanwhile, in another shell:
#   java -jar target/pewtercourse.jar sites status --admin 127.0.0.1:9101
set -e
cd "$(dirname "$0")/.."
rm -rf target/sites
mkdir -p target/sites
trap 'kill $directors 2>/dev/null' EXIT
java -jar target/pewtercourse.jar emulate examples/site-loss.json --into target/sites &
emulator=$!
until [ -f target/sites/director-edge-3.json ]; do sleep 0.1; done
sleep 0.5
# What a site bears, as in examples/site-loss.json.
sed -e 's/"bears": 40/"bears": 18/; s/"bears": 60/"bears": 24/; s/, "link": [0-9]*//' deploy/sites.json >target/sites/sites.json
directors=
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
