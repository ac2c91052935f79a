use dw_request::PathMatch;
use dw_tables::Capacity;
use http::{HeaderName, HeaderValue, StatusCode};

/// The default header of a request's id.
static REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// The header names and conventions that the daemon uses with callers and targets.
///
/// The default is the interface that `docs/design.md`, section 5.2, describes.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Time left until the end of the response in ms, received from callers and sent to targets.
    pub timeout: HeaderName,
    /// The id of a request. Targets repeat it on their responses; a response with another id belongs
    /// to another request and is not relayed. If it is `None`, the id is in `x-request-id`, which a
    /// daemon adds if the caller sent none and which targets need not repeat.
    pub request_id: Option<HeaderName>,
    /// The service on the host where a request originated. The daemon sets it on requests to targets
    /// and overwrites what the caller sent.
    pub origin: Option<(HeaderName, HeaderValue)>,
    /// The incarnation of the target that a request is meant for; any other incarnation refuses it
    /// with status 421.
    pub target_instance: Option<HeaderName>,
    /// The name of the workspace to whose key a request belongs. If the version has workspaces, a
    /// value that the caller sent is removed.
    pub workspace: HeaderName,
    /// Present on the response of a target that did not run the request.
    pub refused: Option<HeaderName>,
    /// On a response of a target, the requests per second that it accepts from all callers together.
    /// It holds until a response does not state it.
    pub limit: HeaderName,
    /// Has the value `1` on the responses of a target that is leaving.
    pub leaving: HeaderName,
    /// Whether `retry-after` may contain a fraction of a second.
    pub fractional_seconds: bool,
    /// Whether the end of the connection may delimit a target's response. Such a response is complete
    /// if the connection was closed without an error.
    pub close_delimited: bool,
    /// Which paths of requests the path of a route takes.
    pub path_match: PathMatch,
    /// The capacity of pools whose rows leave it fixed. It is no part of the tables, whose hash is the same on daemons
    /// that take it otherwise.
    pub capacity: Capacity,
}

impl Dialect {
    /// The header names used between daemons; the headers of the request id and of the
    /// workspace stay the same.
    pub(crate) fn between_daemons(&self) -> Self {
        Self {
            request_id: self.request_id.clone(),
            workspace: self.workspace.clone(),
            ..Self::default()
        }
    }

    /// Whether a response with this status, if it does not state that the request was refused, would
    /// tell callers that it has not run although it may have.
    pub(crate) fn is_false_promise(&self, status: StatusCode) -> bool {
        let promises = [
            StatusCode::REQUEST_TIMEOUT,
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        self.refused.is_some() && promises.contains(&status)
    }

    /// The header of the request id.
    pub(crate) fn id_header(&self) -> &HeaderName {
        self.request_id.as_ref().unwrap_or(&REQUEST_ID)
    }
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            timeout: HeaderName::from_static("damaskwick-timeout-ms"),
            request_id: None,
            origin: None,
            target_instance: None,
            workspace: HeaderName::from_static("damaskwick-workspace"),
            refused: None,
            limit: HeaderName::from_static("damaskwick-target-limit"),
            leaving: HeaderName::from_static("damaskwick-target-leaving"),
            fractional_seconds: false,
            close_delimited: false,
            path_match: PathMatch::default(),
            capacity: Capacity::default(),
        }
    }
}
