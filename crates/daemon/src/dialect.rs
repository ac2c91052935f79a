use http::{HeaderName, HeaderValue};

/// The name of a request in the product's own interface.
static REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// The names that callers and targets use for what the daemon tells them and reads from them.
///
/// The default is the product's own interface, `docs/design.md`, section 5.2.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Time left for the whole response in ms, from callers and to targets.
    pub timeout: HeaderName,
    /// Names a request. Targets repeat it on their responses; a response under another name belongs
    /// to another request and is not passed on. Without it requests are named by `x-request-id`, which
    /// a daemon adds where the caller sent none and which targets need not repeat.
    pub request_id: Option<HeaderName>,
    /// The service on the host where a request began, which the daemon states to targets whatever
    /// the caller sent.
    pub origin: Option<(HeaderName, HeaderValue)>,
    /// The incarnation of the target that a request is meant for; any other refuses it with status
    /// 421.
    pub target_instance: Option<HeaderName>,
    /// Present on a response of a target that did not run the request.
    pub refused: Option<HeaderName>,
    /// On a response of a target, the requests a second that it takes from all callers together, for as
    /// long as its responses say so.
    pub limit: HeaderName,
    /// Is `1` on the responses of a target that is leaving.
    pub leaving: HeaderName,
    /// Whether `retry-after` may have a fraction of a second.
    pub fractional_seconds: bool,
    /// Whether targets may end a response with their connection. Such a response is complete if the
    /// connection was closed in order.
    pub close_delimited: bool,
}

impl Dialect {
    /// The names that daemons use towards each other; requests keep the one they have.
    pub(crate) fn between_daemons(&self) -> Self {
        Self { request_id: self.request_id.clone(), ..Self::default() }
    }

    /// The header that names a request.
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
            refused: None,
            limit: HeaderName::from_static("damaskwick-target-limit"),
            leaving: HeaderName::from_static("damaskwick-target-leaving"),
            fractional_seconds: false,
            close_delimited: false,
        }
    }
}
