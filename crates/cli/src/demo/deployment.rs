use std::str::FromStr;

use derive_more::Display;
use dw_daemon::PresetName;
use dw_tables::{
    Findings, Match, Millis, Name, Pool, Repeat, Route, Source, Tables, UnknownFields, parse_tables,
};
use serde::Serialize;

/// The deployment whose mesh the demo shows.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Deployment {
    /// Granite Coast Returns Cooperative.
    #[default]
    #[display("cooperative")]
    Cooperative,
    /// Verband Hochzeitsplanung Schweiz.
    #[display("verband")]
    Verband,
}

/// The error for a text that does not name a deployment.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a deployment; accepted: cooperative, verband")]
pub struct UnknownDeployment(String);

impl FromStr for Deployment {
    type Err = UnknownDeployment;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "cooperative" => Ok(Self::Cooperative),
            "verband" => Ok(Self::Verband),
            _ => Err(UnknownDeployment(text.to_owned())),
        }
    }
}

/// A kind of request that callers make.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestKind {
    /// The HTTP method.
    pub(super) method: &'static str,
    /// The request path.
    pub(super) path: &'static str,
    /// Whether a request may run at most once.
    pub(super) once: bool,
    /// How many of ten requests are of this kind.
    pub(super) share: u32,
}

/// Lookups on the route that the demo's edit adds. They are sent only once that edit is in force, so
/// they have no share of the usual requests.
const COOPERATIVE_URGENT: RequestKind =
    RequestKind { method: "GET", path: "/urgent-copies", once: false, share: 0 };
const VERBAND_URGENT: RequestKind =
    RequestKind { method: "GET", path: "/urgent-enquiries", once: false, share: 0 };

impl Deployment {
    /// The region of all hosts.
    pub(super) const fn region(self) -> &'static str {
        match self {
            Self::Cooperative => "new-england",
            Self::Verband => "ch-west",
        }
    }

    /// The failure domains.
    pub(super) const fn domains(self) -> [&'static str; 4] {
        match self {
            Self::Cooperative => ["portland", "worcester", "hartford", "providence"],
            Self::Verband => ["gva-a", "gva-b", "lau-a", "lau-b"],
        }
    }

    /// The services, each with the number of its targets.
    pub(super) const fn services(self) -> [(&'static str, usize); 3] {
        match self {
            Self::Cooperative => [("tally", 5), ("ledger", 4), ("clearing", 4)],
            Self::Verband => [("enquiry-board", 5), ("claim-desk", 5), ("diary", 4)],
        }
    }

    /// The number of slots and of connections of a target.
    pub(super) const fn target_size(self) -> (u32, u32) {
        match self {
            Self::Cooperative => (12, 120),
            Self::Verband => (17, 130),
        }
    }

    /// The control-plane preset of the daemons.
    pub(super) const fn preset(self) -> PresetName {
        match self {
            Self::Cooperative => PresetName::Cooperative,
            Self::Verband => PresetName::Verband,
        }
    }

    /// The kinds of requests that callers send.
    pub(super) const fn request_kinds(self) -> &'static [RequestKind] {
        match self {
            Self::Cooperative => &[
                RequestKind { method: "GET", path: "/copies/1907", once: false, share: 5 },
                RequestKind { method: "POST", path: "/credits", once: true, share: 3 },
                RequestKind { method: "POST", path: "/settlements", once: true, share: 2 },
            ],
            Self::Verband => &[
                RequestKind { method: "GET", path: "/enquiries", once: false, share: 4 },
                RequestKind { method: "POST", path: "/enquiries", once: true, share: 2 },
                RequestKind { method: "POST", path: "/claims", once: true, share: 2 },
                RequestKind { method: "POST", path: "/consultations", once: true, share: 2 },
            ],
        }
    }

    /// The request that only the edited tables have a route for.
    pub(super) const fn urgent(self) -> &'static RequestKind {
        match self {
            Self::Cooperative => &COOPERATIVE_URGENT,
            Self::Verband => &VERBAND_URGENT,
        }
    }

    /// The example tables.
    pub(super) fn tables(self) -> Result<Tables, Findings> {
        let [routes, pools] = self.example_files();
        parse_tables(Source::new("routes.jsonc", routes), Source::new("pools.jsonc", pools))
    }

    /// Parses the example tables with a misspelt pool; the result is an error with the findings.
    pub(super) fn bad_tables(self) -> Result<Tables, Findings> {
        let [routes, pools] = self.example_files();
        let (service, _) = self.services()[1];
        let known_pool = format!("\"pool\": \"{service}\"");
        let misspelt_pool = format!("\"pool\": \"{service}s\"");
        let routes = routes.replace(&known_pool, &misspelt_pool);
        parse_tables(Source::new("routes.jsonc", &routes), Source::new("pools.jsonc", pools))
    }

    /// Adds a pool for urgent lookups to the tables, and a route that refers to it.
    pub(super) fn edited(self, mut tables: Tables, deadline: Millis) -> Tables {
        let (service, _) = self.services()[0];
        let name = Name::from(format!("{service}-urgent"));
        tables.pools.retain(|pool| pool.name != name);
        tables.routes.retain(|route| route.name != name);
        tables.pools.push(Pool {
            name: name.clone(),
            service: service.into(),
            balance: Default::default(),
            limits: Default::default(),
            prefer: Default::default(),
            drain: Millis::new(30_000),
            ejection: Default::default(),
            capacity: Default::default(),
            unknown: UnknownFields::default(),
        });
        tables.routes.push(Route {
            name: name.clone(),
            matches: Match {
                path: self.urgent().path.into(),
                methods: vec!["GET".into()],
                ..Match::default()
            },
            pool: name,
            split: Vec::new(),
            repeat: Repeat::Idempotent,
            deadline,
            retries: 2,
            priority: 0,
            objective: deadline,
            public: false,
            unknown: UnknownFields::default(),
        });
        tables
    }

    const fn example_files(self) -> [&'static str; 2] {
        match self {
            Self::Cooperative => [
                include_str!("../../../../examples/cooperative/routes.jsonc"),
                include_str!("../../../../examples/cooperative/pools.jsonc"),
            ],
            Self::Verband => [
                include_str!("../../../../examples/verband/routes.jsonc"),
                include_str!("../../../../examples/verband/pools.jsonc"),
            ],
        }
    }
}
