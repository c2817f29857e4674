package pewtercourse.director;

import pewtercourse.cache.End;
import pewtercourse.decision.Router.Ending;
import pewtercourse.decision.Router.Note;

/** The one place where what happened on a socket becomes an outcome of the decision module. */
final class Endings {
    private Endings() {}

    /** What proves that nothing ran is FULL, MISS, CONNECT_FAILED or MOOT; all else may have run. */
    static Ending of(End end) {
        return switch (end) {
            case SERVED, NOT_MODIFIED -> Ending.OK;
            case MISS -> Ending.MISS;
            case FULL -> Ending.FULL;
            case ERROR -> Ending.ERROR;
            case REFUSED, CONNECT_TIMEOUT -> Ending.CONNECT_FAILED;
            case EXPIRED, NO_DESCRIPTOR, OVERTAKEN, CANCELLED_UNSENT -> Ending.MOOT;
            case RESET, MALFORMED -> Ending.RESET;
            case TIMEOUT -> Ending.TIMEOUT;
            case CANCELLED -> Ending.CANCELLED;
        };
    }

    /** By name, as the simulator numbers them: the order of the words on the socket says nothing. */
    static Note note(String word) {
        return switch (word == null ? "" : word) {
            case "mem" -> Note.HIT;
            case "parent" -> Note.FILLED;
            case "origin" -> Note.FILLED_FROM_ORIGIN;
            case "shared" -> Note.JOINED;
            case "old" -> Note.STALE;
            case "denied" -> Note.SOURCE_REFUSED;
            case "unreached" -> Note.SOURCE_FAILED;
            case "absent" -> Note.SOURCE_LACKS;
            case "crowded" -> Note.NO_FILL_PLACE;
            case "behind" -> Note.ORIGIN_FAILED;
            default -> Note.NONE;
        };
    }
}
