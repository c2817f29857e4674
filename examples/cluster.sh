#!/bin/bash
# Runs a cluster of three directors on this machine until Ctrl-C. Their data folders, logs and configuration files are in
# target/cluster. Needs target/pewtercourse.jar.
# Try, in another shell:
#   java -jar target/pewtercourse.jar cluster status --admin 127.0.0.1:9101
#   curl -s -X POST -d '{"target":"s-00000001"}' http://127.0.0.1:9102/maintenance/enter
set -e
cd "$(dirname "$0")/.."
mkdir -p target/cluster
trap 'kill $(jobs -p) 2>/dev/null || true' EXIT
for i in 1 2 3; do
  file=target/cluster/d$i.json
  sed -e "s/^  \"name\": \"d1\"/  \"name\": \"d$i\"/" -e "s/7001\",\$/700$i\",/" \
    -e "s#/var/lib/pewtercourse/d1#target/cluster/d$i#" deploy/cluster.json >"$file"
  [ -d "target/cluster/d$i" ] || java -jar target/pewtercourse.jar cluster init "$file"
  GW_CONFIG=examples/config.json GW_LISTEN=127.0.0.1:844$i GW_ADMIN_ADDR=127.0.0.1:910$i GW_CLUSTER=$file \
    java -Xmx96m -jar target/pewtercourse.jar serve 2>"target/cluster/d$i.log" &
done
echo "three directors run: logs in target/cluster; Ctrl-C stops them"
wait
