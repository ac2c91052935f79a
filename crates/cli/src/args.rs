use std::{net::SocketAddr, path::PathBuf};

use dw_tables::Millis;
use gumdrop::Options;

use crate::Deployment;

/// damaskwick edits the tables of the mesh and shows where they are in force.
#[derive(Debug, Options)]
pub struct Args {
    /// show this text
    pub help: bool,
    /// show the version of the tool
    #[options(no_short)]
    pub version: bool,
    /// what to do
    #[options(command)]
    pub command: Option<Command>,
}

/// The commands.
#[derive(Debug, Options)]
pub enum Command {
    /// check the tables and list all findings
    Check(CheckArgs),
    /// show in which rows the tables differ from a version of the platform
    Diff(DiffArgs),
    /// make the tables the next version
    Apply(ApplyArgs),
    /// show the tables of a version
    Get(GetArgs),
    /// list accepted versions, newest first
    History(HistoryArgs),
    /// show where versions are in force, as daemons see it
    Status(StatusArgs),
    /// wait until a version is in force everywhere
    Watch(WatchArgs),
    /// move a service to another version of its targets, step by step
    Rollout(RolloutArgs),
    /// print the hash of a workspace key that is read from standard input
    HashKey(HashKeyArgs),
    /// tell from logs what became of a request, and why
    Explain(ExplainArgs),
    /// show a whole mesh in one process
    Demo(DemoArgs),
}

/// `check` checks the tables and lists all findings.
#[derive(Debug, Options)]
pub struct CheckArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
    /// directory of routes.jsonc, pools.jsonc and, where there are workspaces, workspaces.jsonc
    #[options(no_short, meta = "DIR", default = ".")]
    pub tables: PathBuf,
}

/// `diff` shows in which rows the tables differ from a version of the platform.
#[derive(Debug, Options)]
pub struct DiffArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
    /// directory of routes.jsonc, pools.jsonc and, where there are workspaces, workspaces.jsonc
    #[options(no_short, meta = "DIR", default = ".")]
    pub tables: PathBuf,
    /// address of the platform (required); may be repeated
    #[options(no_short, meta = "IP:PORT", parse(try_from_str = "read_addr"))]
    pub platform: Vec<SocketAddr>,
    /// version to compare with instead of the newest
    #[options(no_short, meta = "VERSION")]
    pub base: Option<u64>,
}

/// `apply` makes the tables the next version of the platform.
#[derive(Debug, Options)]
pub struct ApplyArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
    /// directory of routes.jsonc, pools.jsonc and, where there are workspaces, workspaces.jsonc
    #[options(no_short, meta = "DIR", default = ".")]
    pub tables: PathBuf,
    /// address of the platform (required); may be repeated
    #[options(no_short, meta = "IP:PORT", parse(try_from_str = "read_addr"))]
    pub platform: Vec<SocketAddr>,
    /// version that was edited, 0 for the first (required)
    #[options(no_short, required, meta = "VERSION")]
    pub base: u64,
    /// admin address of a daemon that must not be ahead of the platform; may be repeated
    #[options(no_short, meta = "IP:PORT", parse(try_from_str = "read_addr"))]
    pub daemon: Vec<SocketAddr>,
    /// who makes the edit (default: the user)
    #[options(no_short, meta = "NAME")]
    pub author: Option<String>,
    /// accept tables without workspaces although the base has some; requests then need no key
    #[options(no_short)]
    pub drop_workspaces: bool,
    /// time in which the outcome must be found out
    #[options(no_short, meta = "TIME", default = "10s")]
    pub limit: Millis,
}

/// `get` shows the tables of a version.
#[derive(Debug, Options)]
pub struct GetArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
    /// address of the platform (required); may be repeated
    #[options(no_short, meta = "IP:PORT", parse(try_from_str = "read_addr"))]
    pub platform: Vec<SocketAddr>,
    /// version to show instead of the newest
    #[options(no_short, meta = "VERSION")]
    pub version: Option<u64>,
    /// directory to write the tables to; existing files are not replaced
    #[options(no_short, meta = "DIR")]
    pub out: Option<PathBuf>,
}

/// `history` lists accepted versions, newest first.
#[derive(Debug, Options)]
pub struct HistoryArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
    /// address of the platform (required); may be repeated
    #[options(no_short, meta = "IP:PORT", parse(try_from_str = "read_addr"))]
    pub platform: Vec<SocketAddr>,
    /// how many versions to list
    #[options(no_short, meta = "COUNT", default = "20")]
    pub last: u64,
}

/// `status` shows what daemons know of the versions in force.
#[derive(Debug, Options)]
pub struct StatusArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
    /// admin address of a daemon (required); may be repeated
    #[options(no_short, meta = "IP:PORT", parse(try_from_str = "read_addr"))]
    pub daemon: Vec<SocketAddr>,
}

/// `watch` waits until a version is in force everywhere.
#[derive(Debug, Options)]
pub struct WatchArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
    /// admin address of a daemon (required); if repeated, all must report it
    #[options(no_short, meta = "IP:PORT", parse(try_from_str = "read_addr"))]
    pub daemon: Vec<SocketAddr>,
    /// version that, or a later one, must be in force everywhere (required)
    #[options(no_short, required, meta = "VERSION")]
    pub version: u64,
    /// the longest wait
    #[options(no_short, meta = "TIME", default = "10s")]
    pub limit: Millis,
}

/// `rollout` moves a service to another version of its targets, and back if that version responds worse.
#[derive(Debug, Options)]
pub struct RolloutArgs {
    /// show this text
    pub help: bool,
    /// what to do
    #[options(command)]
    pub command: Option<RolloutCommand>,
}

/// The commands of `rollout`.
#[derive(Debug, Options)]
pub enum RolloutCommand {
    /// order a rollout
    Start(RolloutStartArgs),
    /// show how the rollout of a service stands
    Status(RolloutServiceArgs),
    /// keep the share of the new version until the rollout is resumed; the time limit still applies
    Pause(RolloutServiceArgs),
    /// end a pause
    Resume(RolloutServiceArgs),
    /// roll back
    Abort(RolloutServiceArgs),
}

/// `rollout start` orders that a service be moved to a version.
#[derive(Debug, Options)]
pub struct RolloutStartArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
    /// the service, as pools name it
    #[options(free, required)]
    pub service: String,
    /// the version that its targets shall have
    #[options(free, required)]
    pub version: String,
    /// address of the platform (required); may be repeated
    #[options(no_short, meta = "IP:PORT", parse(try_from_str = "read_addr"))]
    pub platform: Vec<SocketAddr>,
    /// admin address of a daemon that must know a target of the version; may be repeated
    #[options(no_short, meta = "IP:PORT", parse(try_from_str = "read_addr"))]
    pub daemon: Vec<SocketAddr>,
    /// time limit, after which the service is moved back
    #[options(no_short, meta = "TIME", default = "10m")]
    pub within: Millis,
}

/// The commands of `rollout` that name a service only.
#[derive(Debug, Options)]
pub struct RolloutServiceArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
    /// the service, as pools name it
    #[options(free, required)]
    pub service: String,
    /// address of the platform (required); may be repeated
    #[options(no_short, meta = "IP:PORT", parse(try_from_str = "read_addr"))]
    pub platform: Vec<SocketAddr>,
}

impl RolloutArgs {
    /// Whether the result is printed as JSON.
    #[must_use]
    pub const fn json(&self) -> bool {
        match &self.command {
            Some(RolloutCommand::Start(args)) => args.json,
            Some(
                RolloutCommand::Status(args)
                | RolloutCommand::Pause(args)
                | RolloutCommand::Resume(args)
                | RolloutCommand::Abort(args),
            ) => args.json,
            None => false,
        }
    }

    /// The addresses of the platform.
    #[must_use]
    pub fn platform(&self) -> &[SocketAddr] {
        match &self.command {
            Some(RolloutCommand::Start(args)) => &args.platform,
            Some(
                RolloutCommand::Status(args)
                | RolloutCommand::Pause(args)
                | RolloutCommand::Resume(args)
                | RolloutCommand::Abort(args),
            ) => &args.platform,
            None => &[],
        }
    }
}

/// `hash-key` prints the hash of a workspace key, as the table of workspaces holds it. The key is read
/// from standard input, up to the end of its first line.
#[derive(Debug, Options)]
pub struct HashKeyArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
}

/// `explain` joins the log lines of several processes into the timeline of one request.
#[derive(Debug, Options)]
pub struct ExplainArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
    /// id of the request, from its header or the complaint
    #[options(free, required)]
    pub request: String,
    /// logs of daemons in JSON; - for standard input
    #[options(free)]
    pub logs: Vec<String>,
    /// how long before and after the request other lines about its hosts are shown
    #[options(no_short, meta = "TIME", default = "5s")]
    pub around: Millis,
}

/// `demo` runs a platform, daemons, targets and callers in one process, disturbs them, and checks
/// that every promise is kept.
#[derive(Debug, Options)]
pub struct DemoArgs {
    /// show this text
    pub help: bool,
    /// print one JSON object
    #[options(no_short)]
    pub json: bool,
    /// whose mesh to show: cooperative or verband
    #[options(no_short, meta = "NAME", default = "cooperative")]
    pub deployment: Deployment,
}

impl Command {
    /// Whether the result is printed as JSON.
    #[must_use]
    pub const fn json(&self) -> bool {
        match self {
            Self::Check(args) => args.json,
            Self::Diff(args) => args.json,
            Self::Apply(args) => args.json,
            Self::Get(args) => args.json,
            Self::History(args) => args.json,
            Self::Status(args) => args.json,
            Self::Watch(args) => args.json,
            Self::Rollout(args) => args.json(),
            Self::HashKey(args) => args.json,
            Self::Explain(args) => args.json,
            Self::Demo(args) => args.json,
        }
    }
}

fn read_addr(text: &str) -> Result<SocketAddr, String> {
    let refuse = |_| format!("{text:?} is not an IP address and a port, such as 127.0.0.1:2379");
    text.parse().map_err(refuse)
}
