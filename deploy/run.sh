#!/bin/bash
# Starts one director with memory areas that fit limits.memory_mb of its configuration. The JVM needs about 30 MB more.
# The script starts no other process: where that is not allowed, sed or a subshell would fail and the default limit would
# apply. It ends with exec, so that signals reach the director itself. Descriptor 0 may be the clients' socket, so the
# file is read through descriptor 3.
mb=
if [ -r "$GW_CONFIG" ]; then
  set -f
  key=
  # Bash reads the file in blocks. Other shells read each byte with its own system call; where calls are slow, a long
  # list of caches then takes longer than the time allowed for a start.
  # The loop splits each line into words at JSON punctuation and blanks and takes the number after the key, on the same
  # line or a later one. Splitting takes one pass; pattern matching takes time quadratic in the length of a line.
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
# With an inherited clients' socket, two processes share the limit for some seconds during an upgrade.
[ -z "$GW_SOCKET_FD" ] || heap=$((mb / 4))
[ "$heap" -ge 16 ] || heap=16
direct=$((mb / 7))
[ -z "$GW_SOCKET_FD" ] || direct=$((mb / 10))
[ "$direct" -ge 8 ] || direct=8
exec java -XX:SharedArchiveFile=target/pewtercourse.jsa -XX:-UsePerfData -XX:+UseSerialGC \
  -Xms$((heap / 2))m -Xmx${heap}m -Xss512k -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=20m \
  -XX:TieredStopAtLevel=1 -XX:MaxDirectMemorySize=${direct}m -Djdk.nio.maxCachedBufferSize=65536 \
  -XX:+ExitOnOutOfMemoryError -Dio.netty.allocator.type=pooled -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.numHeapArenas=1 \
  -Dio.netty.maxDirectMemory=0 -Dio.netty.jfr.enabled=false -Dvertx.disableDnsResolver=true \
  -Djava.net.preferIPv4Stack=true -jar target/pewtercourse.jar serve
