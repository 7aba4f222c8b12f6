//! What a call revealed about its effect on the leafs that ran it.

use rattanmast_model::forward::Completion;

/// What became of the leafs that a call was sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Evidence {
    /// Requests whose leafs seem to have crashed before they replied.
    pub(crate) lost: u32,
    /// Whether a leaf replied, and so survived the call.
    pub(crate) replied: bool,
}

impl Evidence {
    /// Adds the outcome at one service.
    pub(crate) fn record(&mut self, completion: &Completion) {
        self.lost += completion.lost;
        self.replied |= completion.is_replied();
    }
}
