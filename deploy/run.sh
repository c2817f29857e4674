#!/bin/sh
# Starts one director with memory areas that fit limits.memory_mb of its configuration. Besides them the JVM needs
# about 30 MB. exec, so that signals reach the director itself.
mb=$(sed -n 's/.*"memory_mb" *: *\([0-9][0-9]*\).*/\1/p' "$GW_CONFIG" 2>/dev/null | head -n 1)
mb=${mb:-192}
[ "$mb" -le 512 ] || mb=512
heap=$((mb * 2 / 5))
[ "$heap" -ge 16 ] || heap=16
direct=$((mb / 7))
[ "$direct" -ge 8 ] || direct=8
exec java -XX:SharedArchiveFile=target/pewtercourse.jsa -XX:-UsePerfData -XX:+UseSerialGC \
  -Xms$((heap / 2))m -Xmx${heap}m -Xss512k -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=20m \
  -XX:TieredStopAtLevel=1 -XX:MaxDirectMemorySize=${direct}m -Djdk.nio.maxCachedBufferSize=65536 \
  -Dio.netty.allocator.type=pooled -Dio.netty.allocator.numDirectArenas=1 -Dio.netty.allocator.numHeapArenas=1 \
  -Dio.netty.maxDirectMemory=0 -Dio.netty.jfr.enabled=false -Dvertx.disableDnsResolver=true \
  -Djava.net.preferIPv4Stack=true -jar target/pewtercourse.jar serve
