import java.nio.file.Path;

/** Runs a case: {@code CaseClass ROOT RECORD}. With {@code TROUBLE=0} in the environment, the disruption is left out. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    interface Play {
        int play(Deployment deployment, Store store, Record record, boolean trouble) throws Exception;
    }

    private Case() {}

    static void run(String[] args, Play play) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Record record = new Record(Path.of(args[1]));
        Store store = new Store();
        int outcome;
        try (Deployment deployment = new Deployment(Path.of(args[0]), store.address())) {
            outcome = play.play(deployment, store, record, trouble);
        } catch (Exception failed) {
            record.line("the case could not run: " + failed);
            outcome = NOT_RUN;
        }
        record.line(outcome == HELD ? "the rule held" : outcome == BROKEN ? "the rule was broken" : "the case could not run");
        System.out.println(outcome);
        System.exit(outcome);
    }
}
