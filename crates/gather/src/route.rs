//! Choice of the hosts that dispatch to a service.

use rattanmast_model::{catalog::Service, host, host::Host, roster};

/// Chooses the hosts that a root sends sub-queries to.
pub trait Router: Send + Sync + 'static {
    /// Returns the hosts that may dispatch to `service`, in order of preference.
    fn hosts(&self, roster: &[Host], service: &Service) -> Vec<host::Name>;
}

/// Chooses the candidates of the roster, so that each service has one dispatcher at a time.
#[derive(Clone, Copy, Debug, Default)]
pub struct CandidateRouter;

impl Router for CandidateRouter {
    fn hosts(&self, roster: &[Host], service: &Service) -> Vec<host::Name> {
        let hosts = roster::dispatchers(roster, service);
        hosts.into_iter().map(|host| host.name.clone()).collect()
    }
}

/// A baseline in which every root dispatches to all leafs itself.
#[derive(Clone, Debug)]
pub struct SelfRouter(pub host::Name);

impl Router for SelfRouter {
    fn hosts(&self, _: &[Host], _: &Service) -> Vec<host::Name> {
        vec![self.0.clone()]
    }
}
