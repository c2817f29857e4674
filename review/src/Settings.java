import java.util.Map;

/** Configurations of a director in small deployments. */
final class Settings {
    private Settings() {}

    /** The canteen's site: three classes, none keyed. */
    static String canteen(Director director, Feed feed) {
        return config(
                director,
                feed,
                """
                "Classes": [
                  {"Name":"menu-media","Effect":"pure","Group":"all","MemorySpan":5000.0,"Stream":false,"Aim":600.0,"AimStretch":2.0,"Deadline":5000.0,"Worth":2.0,"LateWorth":0.15},
                  {"Name":"menu-page","Effect":"pure","Group":"all","MemorySpan":5000.0,"Stream":false,"Aim":400.0,"AimStretch":2.0,"Deadline":3000.0,"Worth":1.0,"LateWorth":0.2},
                  {"Name":"place-order","Effect":"side_effect","Group":"all","MemorySpan":5000.0,"Stream":false,"Aim":600.0,"Deadline":3000.0,"Worth":3.0,"LateWorth":0.0}
                ],
                "Domain": {"CanJoin":true,"ClassGrace":[0.0,20000.0,0.0],"ClientKbPerS":3400.0,"GoesThrough":[false,false,true],
                  "GoodFor":[0.0,8000.0,0.0],"InParts":[false,false,false],"MasterKind":2,"MidKind":1,"MayPassBy":false,
                  "NoticeTime":1000.0,"ParentColdFrom":0.065,"ParentLimitFactor":2.0,"ParentWarmsIn":21000.0,"PurgeTakes":6000.0,
                  "Says":"hit","SeatsByZone":[0,1],"Siblings":"location"},
                "Permissions": {"Cancel":true,"ConnectTimeout":400.0,"IdleClose":15000.0,"MaxRetryAfter":500.0,"MayTell":true,
                  "ParallelTries":false,"Probing":false,"RetryAfter":false,"StreamsPerConn":32,"TryLimit":6},
                "Rules": {"AnswerSlack":8.0,"AskEvery":10000.0,"ColdFrom":0.23,"DrainGrace":500.0,"FallMultiple":2.0,"TipAfter":1500.0,"WarmUp":16000.0}
                """);
    }

    /** The booking site of the second deployment: one keyed class, whose key lets the origin drop a repeat for 3 s. */
    static String booking(Director director, Feed feed) {
        return config(
                director,
                feed,
                """
                "Classes": [
                  {"Name":"firing-video","Effect":"pure","Group":"all","MemorySpan":5000.0,"Stream":false,"Aim":500.0,"AimStretch":2.0,"Deadline":5000.0,"Worth":2.0,"LateWorth":0.15},
                  {"Name":"small-file","Effect":"pure","Group":"all","MemorySpan":5000.0,"Stream":false,"Aim":400.0,"AimStretch":2.0,"Deadline":2500.0,"Worth":1.0,"LateWorth":0.2},
                  {"Name":"kiln-booking","Effect":"token","Group":"all","MemorySpan":3000.0,"Stream":false,"Aim":600.0,"Deadline":3000.0,"Worth":3.0,"LateWorth":0.0}
                ],
                "Domain": {"CanJoin":true,"ClassGrace":[0.0,0.0,0.0],"ClientKbPerS":5000.0,"GoesThrough":[false,false,true],
                  "GoodFor":[0.0,0.0,0.0],"InParts":[true,false,false],"MasterKind":2,"MidKind":1,"MayPassBy":false,
                  "NoticeTime":1000.0,"ParentColdFrom":0.083,"ParentLimitFactor":2.0,"ParentWarmsIn":22000.0,"PurgeTakes":6000.0,
                  "Says":"hit","SeatsByZone":[0,1],"Siblings":"any"},
                "Permissions": {"Cancel":true,"ConnectTimeout":400.0,"IdleClose":30000.0,"MaxRetryAfter":2000.0,"MayTell":true,
                  "ParallelTries":true,"Probing":false,"RetryAfter":true,"StreamsPerConn":32,"TryLimit":8},
                "Rules": {"AnswerSlack":8.0,"AskEvery":10000.0,"ColdFrom":0.15,"DrainGrace":2000.0,"FallMultiple":2.5,"TipAfter":2000.0,"WarmUp":17000.0}
                """);
    }

    static String config(Director director, Feed feed, String settings) {
        return """
                {"name":"%s","listen":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "feed":"%s","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
                 "known":%s,
                 "settings":{"Me":0,"Instances":1,"Zone":"edge-1","Zones":["north","edge-1"],
                 "Skus":["small-box","parent","origin"],"Discovery":"push","Weights":"silent",
                 %s}}
                """
                .formatted(director.name, director.address(), feed.address(), feed.known(), settings);
    }

    /** Parameters of a request as a web server sends it. */
    static Map<String, String> request(String className, String id, String object, int deadlineMs) {
        return new java.util.LinkedHashMap<>(Map.of(
                "SCRIPT_NAME", "/ops/" + className,
                "REQUEST_METHOD", "GET",
                "HTTP_X_CORRELATION_ID", id,
                "HTTP_X_SUBJECT", object,
                "HTTP_X_CHUNK", "0",
                "HTTP_X_TAG", "17",
                "HTTP_X_DEADLINE_MS", String.valueOf(deadlineMs)));
    }
}
