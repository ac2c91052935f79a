use std::sync::Arc;

use dw_request::{Access, Credentials, Dispatcher, KeyIndex, Reason, Refusal, Router};
use dw_tables::{Name, Route, Workspace};
use http::{HeaderMap, HeaderName, header};

use super::{Proxy, call::Call, headers};

/// What the check of a request's key found, and for which version.
#[derive(Clone, Debug)]
pub(super) struct CallAccess {
    /// The header in which targets receive the workspace's name.
    header: HeaderName,
    /// The routes of the version for which the check was made.
    router: Option<Arc<Router>>,
    /// The credentials that the caller sent, once they have been read.
    credentials: Option<Credentials>,
    /// The workspace to which the key belongs.
    workspace: Option<Arc<Workspace>>,
}

impl CallAccess {
    /// A request that has not been checked.
    pub(super) const fn new(header: HeaderName) -> Self {
        Self { header, router: None, credentials: None, workspace: None }
    }

    /// The workspace for which the request runs.
    pub(super) const fn workspace(&self) -> Option<&Arc<Workspace>> {
        self.workspace.as_ref()
    }

    /// The header for targets, and its value if the request runs for a workspace.
    pub(super) fn target_header(&self) -> Option<(HeaderName, &Name)> {
        let workspace = self.workspace.as_ref()?;
        Some((self.header.clone(), workspace.label.as_ref().unwrap_or(&workspace.name)))
    }

    /// Sets the workspace that another daemon found.
    pub(super) fn set_workspace(&mut self, workspace: Arc<Workspace>) {
        self.workspace = Some(workspace);
    }

    /// Applies the decision on the request to its headers: no valid key and no workspace name that the
    /// caller sent stays in them.
    fn apply(&mut self, access: Access, map: &mut HeaderMap) {
        let (workspace, remove) = match access {
            Access::Open => return,
            Access::Workspace(workspace) => (Some(workspace), true),
            Access::Public { remove } => (None, remove),
        };
        map.remove(&self.header);
        if remove {
            map.remove(header::AUTHORIZATION);
        }
        self.workspace = workspace;
    }
}

impl Proxy {
    /// Checks the key of a caller's request against the version in force, and returns the request's
    /// route.
    ///
    /// # Errors
    /// The request needs a key and has no valid one.
    pub(super) fn check_key(&self, call: &mut Call) -> Result<Option<Arc<Route>>, Refusal> {
        // The key is hashed without the lock, which all requests need.
        let (router, keys) = {
            let dispatcher = self.dispatcher();
            (dispatcher.router(), dispatcher.keys())
        };
        check(router, &keys, call)
    }

    /// Checks the key again if the version has changed since the last check. A request whose body
    /// arrives slowly, or that is retried, must not run with a key that was removed meanwhile.
    pub(super) fn check_key_again(dispatcher: &Dispatcher, call: &mut Call) -> Result<(), Refusal> {
        match &call.access.router {
            // The request comes from another daemon, which checked its key.
            None => Ok(()),
            Some(router) if Arc::ptr_eq(router, &dispatcher.router()) => Ok(()),
            Some(_) => check(dispatcher.router(), &dispatcher.keys(), call).map(drop),
        }
    }

    /// The workspace that another daemon found, as this daemon's version has it. This daemon may not
    /// have the version yet that adds the workspace.
    pub(super) fn known_workspace(&self, name: String) -> Arc<Workspace> {
        let keys = self.dispatcher().keys();
        keys.get(&name).cloned().unwrap_or_else(|| Arc::new(Workspace::new(name.into())))
    }
}

fn check(
    router: Arc<Router>,
    keys: &KeyIndex,
    call: &mut Call,
) -> Result<Option<Arc<Route>>, Refusal> {
    let route = router.find(call.host(), call.path(), call.method()).map(|e| e.route.clone());
    call.access.router = Some(router);
    if let Some(route) = &route
        && !keys.is_empty()
    {
        let credentials = match call.access.credentials {
            Some(credentials) => credentials,
            None => read_credentials(call.headers()),
        };
        call.access.credentials = Some(credentials);
        let access = keys.check(credentials, route.public).map_err(Refusal::new)?;
        call.apply_access(access);
    }
    Ok(route)
}

fn read_credentials(map: &HeaderMap) -> Credentials {
    let values = map.get_all(header::AUTHORIZATION).iter();
    Credentials::read(values.map(http::HeaderValue::as_bytes))
}

/// The name of the workspace that the sending daemon found.
pub(super) fn stated_workspace(map: &HeaderMap) -> Option<String> {
    headers::read(map, &headers::WORKSPACE)
}

impl Call {
    /// Applies the decision on the request's key.
    fn apply_access(&mut self, access: Access) {
        let Self { access: state, head, .. } = self;
        state.apply(access, &mut head.headers);
    }

    /// The headers to forward.
    const fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }
}

/// The refusal of a request that may not be retried, because its key was removed or the daemon stops.
/// An earlier attempt may have run the request, so the reason does not say that it was not run.
pub(super) fn refuse_retry(last: Refusal, no_retry: Reason, unknown: bool) -> Refusal {
    let refusal = Refusal { no_retry: Some(no_retry), ..last };
    if unknown { refusal.with_unknown_outcome() } else { refusal }
}
