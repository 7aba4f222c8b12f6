//! The `Debug` output of types that other crates print into log lines and reply bodies.

use rattanmast_model::{catalog::Snapshot, host::State, peer::Cause};

/// Guards against a renamed variant that changes log lines and reply bodies.
#[test]
fn causes_keep_their_text() {
    let printed = [
        (Cause::Overload, "Overload"),
        (Cause::Late, "Late"),
        (Cause::Unreachable, "Unreachable"),
        (Cause::Gone(vec![Snapshot(7)]), "Gone([Snapshot(7)])"),
        (Cause::Moved, "Moved"),
        (Cause::Elsewhere, "Elsewhere"),
    ];
    for (cause, text) in printed {
        assert_eq!(format!("{cause:?}"), text);
    }
}

/// Guards against a renamed variant that changes the printed state of a host or leaf.
#[test]
fn states_keep_their_text() {
    let printed = [(State::Live, "Live"), (State::Leaving, "Leaving")];
    for (state, text) in printed {
        assert_eq!(format!("{state:?}"), text);
    }
}
