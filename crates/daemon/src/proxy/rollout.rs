use std::{net::SocketAddr, time::Duration};

use dw_log::{Event, Field, Kind};
use dw_request::VersionShare;
use dw_tables::Name;
use http::{Request, Response, StatusCode};
use tokio::time::{Instant, timeout};

use super::{
    Proxy,
    body::{Payload, full},
    headers,
    keeper::{collect, empty_response},
};
use crate::rollout::{RolloutHandle, RolloutPoll, RolloutReply};

/// Timeout of an announcement, below the period of announcements.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);

/// The value of the step header of an announcement.
pub(super) const ROLLOUT_STEP: &str = "rollout";

impl Proxy {
    /// Sets the connection to the task that leads rollouts. Without it, announcements are refused.
    pub(crate) fn set_rollouts(&self, handle: RolloutHandle) {
        // Called once, when the daemon starts.
        let _ = self.rollouts.set(handle);
    }

    /// Applies the shares of a leader and returns what this daemon observed.
    pub(crate) fn follow_rollouts(&self, poll: RolloutPoll) -> RolloutReply {
        let services: Vec<Name> = poll.shares.iter().map(|share| share.service.clone()).collect();
        let now = Instant::now();
        let mut dispatcher = self.dispatcher();
        let (mut changed, mut newer) = (Vec::new(), Vec::new());
        for share in poll.shares {
            let followed = dispatcher.rollouts().followed(&share.service);
            newer.extend(followed.filter(|followed| followed.epoch > share.epoch).cloned());
            if dispatcher.set_share(share.clone(), now) {
                changed.push(share);
            }
        }
        let followed = dispatcher.rollouts().shares();
        let epochs = followed.map(|share| (share.service.clone(), share.epoch)).collect();
        let reports = dispatcher.rollout_reports(&self.host, self.incarnation);
        drop(dispatcher);
        changed.iter().for_each(|share| self.log_share(share));
        let handle = self.rollouts.get();
        if let Some(handle) = handle.filter(|_| poll.from != self.host) {
            handle.hear(poll.from, services);
        }
        let reaches_store = handle.is_some_and(RolloutHandle::reaches_store);
        RolloutReply { reaches_store, epochs, newer, reports }
    }

    /// The share of a service that this daemon follows.
    pub(crate) fn followed_share(&self, service: &Name) -> Option<VersionShare> {
        self.dispatcher().rollouts().followed(service).cloned()
    }

    /// Whether this daemon knows of a rollout.
    pub(crate) fn follows_rollouts(&self) -> bool {
        !self.dispatcher().rollouts().is_empty()
    }

    /// Stops sending to versions that this daemon's own evidence shows to be bad while no leader is heard.
    pub(crate) fn check_rollouts(&self) {
        let mut dispatcher = self.dispatcher();
        let stopped = dispatcher.check_rollouts(Instant::now());
        let shares = stopped.iter().filter_map(|service| dispatcher.rollouts().share(service));
        let shares: Vec<_> = shares.collect();
        drop(dispatcher);
        shares.iter().for_each(|share| self.log_share(share));
    }

    /// Serves the announcement of a leader.
    pub(super) async fn serve_rollout_poll(&self, request: Request<Payload>) -> Response<Payload> {
        let body = collect(request.into_body()).await;
        let poll = body.and_then(|bytes| serde_json::from_slice::<RolloutPoll>(&bytes).ok());
        let (Some(poll), Some(_)) = (poll, self.rollouts.get()) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        match serde_json::to_vec(&self.follow_rollouts(poll)) {
            Ok(body) => Response::new(full(body)),
            Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
        }
    }

    /// Sends an announcement to the daemon at `addr`; `None` without a reply.
    pub(crate) async fn send_rollout_poll(
        &self,
        addr: SocketAddr,
        poll: &RolloutPoll,
    ) -> Option<RolloutReply> {
        let mut request = Request::new(full(serde_json::to_vec(poll).ok()?));
        *request.uri_mut() = http::Uri::from_static("http://damaskwick/");
        headers::set(request.headers_mut(), headers::STEP, ROLLOUT_STEP);
        let body = timeout(POLL_TIMEOUT, self.exchange(addr, request)).await.ok()??;
        serde_json::from_slice(&body).ok()
    }

    fn log_share(&self, share: &VersionShare) {
        self.counters.rollout().set_share(share);
        let event = Event::new(Kind::RolloutChanged)
            .with(Field::Service, &share.service)
            .with(Field::State, share.step.as_str())
            .with(Field::Count, share.share)
            .with(Field::Detail, share.version.to_string());
        self.log.write(&event);
    }
}
