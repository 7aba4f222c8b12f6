//! Chains of filters that a request passes through.

use std::future::Future;

use crate::problem::Result;

/// One step of a chain: turns its input into what the next step needs, or refuses.
pub trait Filter<In>: Send + Sync {
    /// What the next filter takes.
    type Out: Send;

    /// Runs the step.
    fn apply(&self, input: In) -> impl Future<Output = Result<Self::Out>> + Send;

    /// Returns a chain that runs this filter, then `next`.
    fn then<B>(self, next: B) -> Chain<Self, B>
    where
        Self: Sized,
        B: Filter<Self::Out>,
    {
        Chain {
            first: self,
            second: next,
        }
    }
}

/// Two filters, one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Chain<A, B> {
    first: A,
    second: B,
}

impl<In, A, B> Filter<In> for Chain<A, B>
where
    In: Send,
    A: Filter<In>,
    B: Filter<A::Out>,
{
    type Out = B::Out;

    async fn apply(&self, input: In) -> Result<Self::Out> {
        let output = self.first.apply(input).await?;
        self.second.apply(output).await
    }
}
