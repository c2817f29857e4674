/** A planned restart while a client reads its answers at half the pace that the pages name as the most. */
final class SlowReaderAtRestart {
    public static void main(String[] args) throws Exception {
        SlowReader.play(new Lab(args[0]), 500_000, Lab.TROUBLE);
    }
}
