package pewtercourse.lease;

/** A visitor that handles a few kinds of command, and treats all other kinds alike. */
public interface DefaultCommandVisitor<R> extends Command.Visitor<R> {
    /** Called for each kind of command whose own method is not overridden. */
    R other(Command command);

    @Override
    default R assignLease(Command.AssignLease command) {
        return other(command);
    }

    @Override
    default R renewLease(Command.RenewLease command) {
        return other(command);
    }

    @Override
    default R releaseLease(Command.ReleaseLease command) {
        return other(command);
    }

    @Override
    default R requestTransfer(Command.RequestTransfer command) {
        return other(command);
    }

    @Override
    default R reportAbsence(Command.ReportAbsence command) {
        return other(command);
    }

    @Override
    default R drainCache(Command.DrainCache command) {
        return other(command);
    }

    @Override
    default R reinstateCache(Command.ReinstateCache command) {
        return other(command);
    }

    @Override
    default R requestMaintenance(Command.RequestMaintenance command) {
        return other(command);
    }

    @Override
    default R grantMaintenance(Command.GrantMaintenance command) {
        return other(command);
    }

    @Override
    default R cancelMaintenance(Command.CancelMaintenance command) {
        return other(command);
    }

    @Override
    default R requestQuota(Command.RequestQuota command) {
        return other(command);
    }

    @Override
    default R grantQuota(Command.GrantQuota command) {
        return other(command);
    }

    @Override
    default R releaseQuota(Command.ReleaseQuota command) {
        return other(command);
    }

    @Override
    default R setEligibility(Command.SetEligibility command) {
        return other(command);
    }

    @Override
    default R reportSiteObservation(Command.ReportSiteObservation command) {
        return other(command);
    }

    @Override
    default R changeSiteStatus(Command.ChangeSiteStatus command) {
        return other(command);
    }

    @Override
    default R publishFailoverPlan(Command.PublishFailoverPlan command) {
        return other(command);
    }

    @Override
    default R pauseSiteRecovery(Command.PauseSiteRecovery command) {
        return other(command);
    }

    @Override
    default R startFailoverDrill(Command.StartFailoverDrill command) {
        return other(command);
    }
}
