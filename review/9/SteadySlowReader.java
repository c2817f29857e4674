/** A client that never stops reading, at a fifth of the pace that the pages name as the most; without it, at full speed. */
final class SteadySlowReader {
    public static void main(String[] args) throws Exception {
        SlowReader.play(new Lab(args[0]), Lab.TROUBLE ? 200_000 : 0, false);
    }
}
