//! Composable request filters.

use std::future::Future;

use crate::problem::Result;

/// A request filter: converts its input for the next filter, or refuses the request.
pub trait Filter<In>: Send + Sync {
    /// The input of the next filter.
    type Out: Send;

    /// Applies the filter.
    fn apply(&self, input: In) -> impl Future<Output = Result<Self::Out>> + Send;

    /// Chains this filter with `next`.
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

/// Two filters applied in sequence.
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
