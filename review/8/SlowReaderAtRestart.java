/** A planned restart while a client reads its answers at the pace that the pages name. */
final class SlowReaderAtRestart {
    public static void main(String[] args) throws Exception {
        SlowReader.play(new Lab(args[0]), 1_000_000, Lab.TROUBLE);
    }
}
