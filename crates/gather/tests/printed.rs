//! The `Debug` text of refusals, which is printed in a log line and in the body of a reply.

use std::time::Duration;

use rattanmast_gather::relay::{Failure, Refusal};
use rattanmast_model::{catalog::Snapshot, peer::Cause};

/// Guards against a renamed variant that changes text read by operators and callers.
#[test]
fn refusals_print_their_outer_names() {
    let cases = [
        (Refusal::Unready, "Unready"),
        (Refusal::NoRoute, "NoRoute"),
        (Refusal::NotRun(Cause::Overload), "NotRun(Overload)"),
        (Refusal::NotRun(Cause::Late), "NotRun(Late)"),
        (Refusal::NotRun(Cause::Elsewhere), "NotRun(Elsewhere)"),
        (Refusal::NotRun(Cause::Unreachable), "NotRun(Unreachable)"),
        (Refusal::NotRun(Cause::Moved), "NotRun(Moved)"),
        (
            Refusal::NotRun(Cause::Gone(vec![Snapshot(4), Snapshot(5)])),
            "NotRun(Gone([Snapshot(4), Snapshot(5)]))",
        ),
        (
            Refusal::Quarantined {
                remaining: Duration::from_millis(1_500),
            },
            "Quarantined { remaining: 1.5s }",
        ),
        (Refusal::Unknown(Failure::Late), "Unknown(Late)"),
        (Refusal::Unknown(Failure::Broken), "Unknown(Broken)"),
    ];
    for (refusal, expected) in cases {
        // A new variant breaks the build here, so that it is added above as well.
        match &refusal {
            Refusal::Unready
            | Refusal::NoRoute
            | Refusal::NotRun(
                Cause::Overload
                | Cause::Late
                | Cause::Elsewhere
                | Cause::Unreachable
                | Cause::Moved
                | Cause::Gone(_),
            )
            | Refusal::Quarantined { .. }
            | Refusal::Unknown(Failure::Late | Failure::Broken) => {}
        }
        assert_eq!(format!("{refusal:?}"), expected);
    }
    assert_eq!(format!("{:?}", Failure::Late), "Late");
    assert_eq!(format!("{:?}", Failure::Broken), "Broken");
}
