//! Collects the metrics of all roles when they are scraped.

use rattanmast_gather::Gatherer;
use rattanmast_model::rank::Rank;
use rattanmast_observe::metrics::Metrics;
use rattanmast_state::node::Node;
use rattanmast_wire::{exchange, store};

use crate::{local::Roles, peers::Peers};

/// Collects the metrics of all roles.
#[derive(Clone)]
pub struct Scrape {
    /// The metrics to update.
    pub metrics: Metrics,
    /// The dispatcher and the claimer.
    pub roles: Roles,
    /// Executes queries.
    pub gatherer: Gatherer<Peers>,
    /// The state node of this host.
    pub node: Node<store::Client, exchange::Client>,
}

impl Scrape {
    /// Updates the metrics and returns them in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        for (event, value) in self.gatherer.stats().fields() {
            self.metrics.set_event_total("root", event, value);
        }
        self.update_dispatcher();
        self.update_claimer();
        self.update_state();
        self.metrics.render()
    }

    fn update_dispatcher(&self) {
        let stats = self.roles.dispatcher.stats();
        for (event, value) in [
            ("sent", stats.sent),
            ("hedges", stats.hedges),
            ("sheds", stats.sheds),
            ("errors", stats.errors),
            ("refused", stats.refused),
            ("late", stats.late),
            ("mismatches", stats.mismatches),
            ("silent_connections", stats.silent_connections),
        ] {
            self.metrics.set_event_total("dispatcher", event, value);
        }
        let set_gauge = |name: &str, value| self.metrics.set_gauge("dispatcher", name, value);
        set_gauge("open_connections", stats.open_connections);
        set_gauge("in_flight", stats.in_flight);
        for rank in Rank::ALL {
            let wait = stats.waits_us[rank.index()];
            set_gauge(&format!("wait_us_{}", rank.name()), wait);
            set_gauge(
                &format!("queued_{}", rank.name()),
                stats.queued[rank.index()],
            );
        }
    }

    fn update_claimer(&self) {
        let stats = self.roles.orders.stats();
        for (event, value) in [
            ("done", stats.done),
            ("not_run", stats.not_run),
            ("unknown", stats.unknown),
            ("already_done", stats.already_done),
            ("claimed", stats.claimed),
            ("platform_writes", stats.writes),
            ("platform_reads", stats.reads),
            ("conflicts", stats.conflicts),
            ("lost_answers", stats.lost_responses),
        ] {
            self.metrics.set_event_total("claimer", event, value);
        }
        self.metrics.set_gauge("claimer", "keys", stats.keys);
        self.metrics
            .set_gauge("claimer", "in_flight", stats.in_flight);
    }

    fn update_state(&self) {
        let proof = self.node.proof();
        self.metrics
            .set_gauge("state", "serving", u64::from(proof.serving()));
        let version = self.node.view().borrow().config.version;
        self.metrics.set_gauge("state", "config_version", version.0);
    }
}
