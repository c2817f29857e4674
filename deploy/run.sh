#!/bin/bash
# Starts one director with memory areas that fit limits.memory_mb of its configuration. Besides them the JVM needs
# about 30 MB. One process from beginning to end: where no other program may be started, sed or a subshell would fail
# and leave the default; exec, so that signals reach the director itself. Descriptor 0 may be the clients' socket, so
# the file is read by another.
mb=
if [ -r "$GW_CONFIG" ]; then
  set -f
  key=
  # The file is read by blocks: bash does, other shells read each byte by a call of its own, and a long list of caches
  # then takes longer than a start may where calls are slow.
  # Words between the marks of JSON, blanks among them: the number after the key, on its line or a later one. Split
  # in one pass, as patterns take time by the square of a line's length.
  blanks=$IFS
  while [ -z "$mb" ] && { IFS= read -r line <&3 || [ -n "$line" ]; }; do
    IFS='{}[],:"'$blanks
    for word in $line; do
      case $key:$word in
        *:) ;;
        memory_mb:[0-9]*) mb=${word%%[!0-9]*}; break ;;
        *) key=$word ;;
      esac
    done
  done 3<"$GW_CONFIG"
  IFS=$blanks
fi
mb=${mb:-192}
[ "$mb" -le 512 ] || mb=512
heap=$((mb * 2 / 5))
# Where the clients' socket is inherited, an upgrade has two processes under one limit for some seconds.
[ -z "$GW_SOCKET_FD" ] || heap=$((mb / 4))
[ "$heap" -ge 16 ] || heap=16
direct=$((mb / 7))
[ -z "$GW_SOCKET_FD" ] || direct=$((mb / 10))
[ "$direct" -ge 8 ] || direct=8
exec java -XX:SharedArchiveFile=target/pewtercourse.jsa -XX:-UsePerfData -XX:+UseSerialGC \
  -Xms$((heap / 2))m -Xmx${heap}m -Xss512k -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=20m \
  -XX:TieredStopAtLevel=1 -XX:MaxDirectMemorySize=${direct}m -Djdk.nio.maxCachedBufferSize=65536 \
  -Dio.netty.allocator.type=pooled -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.numHeapArenas=1 \
  -Dio.netty.maxDirectMemory=0 -Dio.netty.jfr.enabled=false -Dvertx.disableDnsResolver=true \
  -Djava.net.preferIPv4Stack=true -jar target/pewtercourse.jar serve
