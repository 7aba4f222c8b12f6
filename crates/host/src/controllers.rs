//! The controller that applies changes of the state to the roles.

use std::{sync::Arc, time::Duration};

use rattanmast_gather::Gatherer;
use rattanmast_model::host::Name;
use rattanmast_state::{node::Node, settings::Settings};
use rattanmast_wire::{exchange, store};
use tokio::{
    sync::watch,
    time::{self, Instant},
};

use crate::{api::ServingConfig, auth::Callers, config::Config, local::Roles, peers::Peers};

/// Interval between checks of the proof of the configuration and of leaving leafs.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time that a new host waits for the leafs and catalogs before it serves.
///
/// The wait is bounded because a collection without a snapshot has no catalog and must not keep
/// hosts from serving.
const INITIAL_STATE_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the settings of the state node.
pub fn state_settings(config: &Config) -> Settings {
    Settings {
        seeds: config.seeds.clone(),
        ..Settings::default()
    }
}

/// Applies changes of the state to the roles.
pub struct StateApplier {
    /// The name of this host.
    pub me: Name,
    /// The state node of this host.
    pub node: Node<store::Client, exchange::Client>,
    /// The dispatcher and the claimer.
    pub roles: Roles,
    /// Executes queries.
    pub gatherer: Gatherer<Peers>,
    /// The client for other hosts.
    pub peers: Peers,
    /// Publishes the configuration to the API.
    pub serving_config: watch::Sender<ServingConfig>,
}

impl StateApplier {
    /// Follows the state until the node is dropped.
    pub async fn run(self) {
        let mut view = self.node.view();
        let mut tick = time::interval(STATE_POLL_INTERVAL);
        let mut initial_wait_over = false;
        let mut proven_since = None;
        let mut warned_version = None;
        loop {
            tokio::select! {
                changed = view.changed() => match changed {
                    Ok(()) => self.apply(),
                    Err(_) => return,
                },
                _ = tick.tick() => {}
            }
            let serving = self.node.proof().serving();
            if serving && !initial_wait_over {
                let elapsed = proven_since.get_or_insert_with(Instant::now).elapsed();
                initial_wait_over = view.borrow().complete() || elapsed >= INITIAL_STATE_TIMEOUT;
            }
            let config = view.borrow().config.clone();
            let listed = config.hosts.iter().any(|host| host.name == self.me);
            if serving && !listed && warned_version.replace(config.version) != Some(config.version)
            {
                log::warn!(
                    "configuration {} does not list host {}, so it does not serve; add it to the \
                     intent, or check --platform and --seeds",
                    config.version.0,
                    self.me,
                );
            }
            // A host that was given the seeds of another installation by mistake reads that
            // installation's state, which it must not serve.
            self.update_serving(serving && initial_wait_over && listed);
        }
    }

    /// Applies the current view of the state to all roles.
    fn apply(&self) {
        let view = self.node.view().borrow().clone();
        self.peers.apply(&view.config);
        self.roles
            .dispatcher
            .apply(view.config.clone(), view.leafs.clone());
        self.roles.orders.apply_config(view.config.clone());
        self.gatherer.apply(
            view.config.clone(),
            view.catalogs.clone(),
            view.leafs.clone(),
        );
        let callers = Arc::new(Callers::new(&view.config));
        self.serving_config.send_modify(|current| {
            current.config = view.config.clone();
            current.callers = callers;
        });
    }

    /// Starts or stops serving, and exchanges the known leaving leafs between state and roles.
    fn update_serving(&self, serving: bool) {
        self.roles.dispatcher.set_serving(serving);
        self.roles.orders.set_serving(serving);
        self.serving_config.send_if_modified(|current| {
            let changed = current.serving != serving;
            current.serving = serving;
            changed
        });
        let local = self.roles.dispatcher.self_reported_leaving().into_iter();
        let leaving: Vec<_> = local.chain(self.gatherer.leaving()).collect();
        self.node.announce_leaving(&leaving);
        self.roles
            .dispatcher
            .record_leaving(&self.node.leaving_leafs());
    }
}
