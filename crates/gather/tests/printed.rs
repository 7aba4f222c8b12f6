//! Pins the `Debug` text of refusals, which a log line and the body of a reply contain.

use rattanmast_gather::relay::{Failure, Refusal};
use rattanmast_model::{catalog::Snapshot, peer::Cause};

/// Guards against a renamed variant that changes the text which operators and callers read.
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
        (Refusal::Unknown(Failure::Late), "Unknown(Late)"),
        (Refusal::Unknown(Failure::Broken), "Unknown(Broken)"),
    ];
    for (refusal, expected) in cases {
        // Fails to compile when a variant is added, as a reminder to pin it above.
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
            | Refusal::Unknown(Failure::Late | Failure::Broken) => {}
        }
        assert_eq!(format!("{refusal:?}"), expected);
    }
    assert_eq!(format!("{:?}", Failure::Late), "Late");
    assert_eq!(format!("{:?}", Failure::Broken), "Broken");
}
