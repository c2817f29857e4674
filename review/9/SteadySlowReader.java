/** A client that never stops reading, at an eighth of the pace that the pages name as the most; without it, at full speed. */
final class SteadySlowReader {
    public static void main(String[] args) throws Exception {
        SlowReader.play(new Lab(args[0]), Lab.TROUBLE ? 120_000 : 0, false);
    }
}
