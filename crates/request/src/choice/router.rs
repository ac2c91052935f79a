use std::{collections::HashMap, sync::Arc};

use dw_tables::{Name, Route, Version, canonical_host, decode_path};

/// Routes of one host: normalized path prefix to candidates, most specific first.
type Paths = HashMap<Name, Vec<Arc<ResolvedRoute>>>;

/// A route of the routing table with its pools resolved.
#[derive(Clone, Debug)]
pub struct ResolvedRoute {
    /// The route.
    pub route: Arc<Route>,
    /// Indices into the version's table of pools, each with its weight; never empty.
    pub pools: Vec<(usize, u32)>,
}

impl ResolvedRoute {
    /// Chooses the pool of one request by weight; `draw` is a uniform random number from 0 to 1.
    pub(crate) fn pick_pool(&self, draw: f64) -> usize {
        let total: f64 = self.pools.iter().map(|(_, weight)| f64::from(*weight)).sum();
        let mut left = draw * total;
        let found = self.pools.iter().find(|(_, weight)| {
            left -= f64::from(*weight);
            left < 0.0
        });
        found.or(self.pools.last()).map_or(0, |(pool, _)| *pool)
    }
}

/// Which paths of requests the path of a route takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathMatch {
    /// The path itself and all paths below it: `/credits` takes `/credits` and `/credits/7`.
    #[default]
    SelfAndBelow,
    /// Only paths below it: `/credits` takes `/credits/` and `/credits/7`, but not `/credits`.
    Below,
}

/// The routes of one version, indexed by host and path.
///
/// A lookup costs one hash lookup per path segment, up to the longest prefix in the table,
/// regardless of the number of routes.
#[derive(Clone, Debug, Default)]
pub struct Router {
    hosts: HashMap<Name, Paths>,
    any_host: Paths,
    max_segments: usize,
    path_match: PathMatch,
}

impl Router {
    /// Builds the index. Routes with a pool that does not exist are left out; validation rejects them.
    #[must_use]
    pub fn new(version: &Version) -> Self {
        let mut router = Self::default();
        let pools: HashMap<&str, usize> =
            version.tables.pools.iter().enumerate().map(|(i, p)| (p.name.as_str(), i)).collect();
        for route in &version.tables.routes {
            let whole = [(&route.pool, 1)];
            let split = route.split.iter().map(|share| (&share.pool, share.weight));
            let split: Vec<_> =
                if route.split.is_empty() { whole.to_vec() } else { split.collect() };
            let parts = split
                .iter()
                .filter_map(|(name, weight)| pools.get(name.as_str()).map(|pool| (*pool, *weight)));
            let parts: Vec<_> = parts.collect();
            if parts.len() == split.len() {
                router.add(ResolvedRoute { route: Arc::new(route.clone()), pools: parts });
            }
        }
        router
    }

    /// Sets which paths of requests the path of a route takes.
    #[must_use]
    pub const fn with_path_match(mut self, path_match: PathMatch) -> Self {
        self.path_match = path_match;
        self
    }

    /// The most specific route that matches: one for exactly this host is preferred to one for any
    /// host, then the longest path prefix, then a route that lists the method to one for any method.
    #[must_use]
    pub fn find(&self, host: &str, path: &str, method: &str) -> Option<&ResolvedRoute> {
        let path = path.split_once(['?', '#']).map_or(path, |(path, _)| path);
        let exact = match self.hosts.is_empty() {
            true => None,
            false => self.paths_of(host),
        };
        exact
            .and_then(|paths| self.longest_match(paths, path, method))
            .or_else(|| self.longest_match(&self.any_host, path, method))
    }

    /// The routes for exactly this host, or else for the host without its port.
    fn paths_of(&self, host: &str) -> Option<&Paths> {
        let find = |host| self.hosts.get(canonical_host(host).as_ref());
        match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => {
                find(host).or_else(|| find(name))
            }
            _ => find(host),
        }
    }

    fn longest_match<'a>(
        &self,
        paths: &'a Paths,
        path: &str,
        method: &str,
    ) -> Option<&'a ResolvedRoute> {
        let slashes = path.match_indices('/').map(|(idx, _)| idx).filter(|idx| *idx > 0);
        let ends = [0].into_iter().chain(slashes).chain([path.len()]);
        let is_taken = |end: &usize| match self.path_match {
            PathMatch::SelfAndBelow => true,
            PathMatch::Below => path[*end..].starts_with('/'),
        };
        ends.filter(is_taken)
            .take(self.max_segments + 1)
            .filter_map(|end| {
                paths.get(&path[..end])?.iter().find(|e| accepts_method(&e.route, method))
            })
            .last()
            .map(AsRef::as_ref)
    }

    fn add(&mut self, entry: ResolvedRoute) {
        let matches = &entry.route.matches;
        let prefix = Name::new(&decode_path(&matches.path));
        self.max_segments = self.max_segments.max(prefix.matches('/').count());
        let paths = match matches.host.is_empty() {
            true => &mut self.any_host,
            false => {
                let host = Name::new(&canonical_host(&matches.host));
                self.hosts.entry(host).or_default()
            }
        };
        let routes = paths.entry(prefix).or_default();
        let position = match matches.methods.is_empty() {
            true => routes.len(),
            false => routes.partition_point(|e| !e.route.matches.methods.is_empty()),
        };
        routes.insert(position, Arc::new(entry));
    }
}

fn accepts_method(route: &Route, method: &str) -> bool {
    let methods = &route.matches.methods;
    methods.is_empty() || methods.iter().any(|m| m.as_str() == method)
}
