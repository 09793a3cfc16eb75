//! The part of the session with control that an entry uses. `Follower` implements it; tests have
//! their own implementation.

use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

use follower::{ClaimError, Claimed, Follower, ServiceSnapshot};
use types::{ClaimKey, ClaimRequest, ClaimTicket, StoredAnswer, UpstreamName};
use wire::session::UsageReport;

/// A session with control.
pub trait Session: Send + Sync + 'static {
    /// Returns the service in force, or `None` before the first.
    fn service(&self) -> Option<Arc<ServiceSnapshot>>;

    /// Returns how long ago a quorum confirmed that this service is in force, or `None` if none did
    /// yet.
    fn age(&self, now: Instant) -> Option<Duration>;

    /// Returns whether control cannot have declared this entry lost between `since` and `now`.
    fn is_steady(&self, since: Instant, now: Instant) -> bool;

    /// Asks for a claim.
    fn claim(
        &self,
        request: ClaimRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<Claimed, ClaimError>> + Send;

    /// Stores the answer of a claim and ends the claim.
    fn finish(
        &self,
        key: ClaimKey,
        ticket: ClaimTicket,
        answer: StoredAnswer,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), ClaimError>> + Send;

    /// Releases a claim whose call was never sent.
    fn release(
        &self,
        key: ClaimKey,
        ticket: ClaimTicket,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), ClaimError>> + Send;

    /// Reports usage.
    fn usage(&self, report: UsageReport);

    /// Reports calls in flight.
    fn load(&self, in_flight: &[(UpstreamName, u32)]);

    /// Reports to control that this entry drains.
    fn draining(&self);
}

impl Session for Follower {
    fn service(&self) -> Option<Arc<ServiceSnapshot>> {
        Follower::service(self)
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        Follower::age(self, now)
    }

    fn is_steady(&self, since: Instant, now: Instant) -> bool {
        Follower::is_steady(self, since, now)
    }

    fn claim(
        &self,
        request: ClaimRequest,
        deadline: Instant,
    ) -> impl Future<Output = Result<Claimed, ClaimError>> + Send {
        Follower::claim(self, request, deadline)
    }

    fn finish(
        &self,
        key: ClaimKey,
        ticket: ClaimTicket,
        answer: StoredAnswer,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), ClaimError>> + Send {
        Follower::finish(self, key, ticket, answer, deadline)
    }

    fn release(
        &self,
        key: ClaimKey,
        ticket: ClaimTicket,
        deadline: Instant,
    ) -> impl Future<Output = Result<(), ClaimError>> + Send {
        Follower::release(self, key, ticket, deadline)
    }

    fn usage(&self, report: UsageReport) {
        Follower::usage(self, report);
    }

    fn load(&self, in_flight: &[(UpstreamName, u32)]) {
        Follower::load(self, in_flight);
    }

    fn draining(&self) {
        Follower::draining(self);
    }
}
