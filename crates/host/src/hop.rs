//! The gRPC service for other hosts.

use rattanmast_model::{outcome::Outcome, peer};
use rattanmast_wire::hop::{
    Error,
    proto::{self, hop_server},
};
use tonic::{Request, Response, Status};

use crate::local::Roles;

/// Serves sub-queries and orders of other hosts.
#[derive(Clone)]
pub struct Server {
    roles: Roles,
}

impl Server {
    /// Creates a server that passes calls to `roles`.
    pub fn new(roles: Roles) -> Self {
        Self { roles }
    }
}

fn invalid_argument(error: &Error) -> Status {
    Status::invalid_argument(error.to_string())
}

#[tonic::async_trait]
impl hop_server::Hop for Server {
    async fn search(
        &self,
        request: Request<proto::Subquery>,
    ) -> Result<Response<proto::Subreply>, Status> {
        let message = peer::Subquery::try_from(request.into_inner());
        let message = message.map_err(|error| invalid_argument(&error))?;
        let reply = self.roles.subquery(message).await;
        Ok(Response::new(reply.into()))
    }

    async fn submit(
        &self,
        request: Request<proto::Order>,
    ) -> Result<Response<proto::Outcome>, Status> {
        let message = peer::Order::try_from(request.into_inner());
        let message = message.map_err(|error| invalid_argument(&error))?;
        let outcome = self.roles.order(message).await;
        Ok(Response::new((&outcome).into()))
    }

    async fn recall(
        &self,
        request: Request<proto::Key>,
    ) -> Result<Response<proto::Recalled>, Status> {
        let proto::Key { caller, key } = request.into_inner();
        let outcome: Option<Outcome> = self.roles.recall(&caller, &key);
        let outcome = outcome.as_ref().map(proto::Outcome::from);
        Ok(Response::new(proto::Recalled { outcome }))
    }
}
