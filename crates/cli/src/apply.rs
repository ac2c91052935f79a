use std::net::SocketAddr;

use dw_platform::Platform;
use dw_tables::{Head, Name, Tables, Version, changes};
use futures_util::future::join_all;
use serde_json::{Value as Json, json};

use crate::{
    Admin, ApplyArgs, Console, DaemonStatus, Exit, Failure,
    files::{WORKSPACES_FILE, read_tables},
    show::{counted, row_lines},
    stale::stale_failure,
    store::{StoredHead, read_head, read_version, write_parts},
    swap::{SwapOutcome, swap},
};

/// The maximum length of the author's name.
const MAX_AUTHOR_BYTES: usize = 64;

/// Metadata of an edit.
#[derive(Clone, Debug)]
pub struct Edit {
    /// The author, unless `--author` names another one.
    pub author: Name,
    /// A random id by which the tool recognizes its own write after a lost response.
    pub change: Name,
    /// The time of the edit, in ms since the Unix epoch.
    pub time: u64,
}

/// Publishes the tables as the next version: shows what will change, writes the parts, then writes
/// the head and the history entry in one transaction.
///
/// # Errors
/// Fails if the tables have findings, the base is stale, a daemon does not answer or knows a
/// version that the platform does not have, the outcome is unknown, or the platform cannot be
/// reached.
pub async fn apply<P: Platform, A: Admin>(
    args: &ApplyArgs,
    edit: &Edit,
    platform: &P,
    admin: &A,
    console: &mut Console,
) -> Result<Json, Failure> {
    let edit = Edit { author: author(args, edit)?, ..edit.clone() };
    let tables = read_tables(&args.tables)?;
    let data =
        apply_tables(args, &edit, tables, platform, admin, console).await.map_err(|failure| {
            match failure.exit {
                Exit::Unreachable => Failure {
                    message: format!("{}; no version was accepted", failure.message),
                    ..failure
                },
                _ => failure,
            }
        })?;
    if data["change"].is_string() {
        let number = &data["version"];
        let daemon = args.daemon.first().map_or("IP:PORT".to_owned(), ToString::to_string);
        console.print_line(&format!(
            "`damaskwick watch --version {number} --daemon {daemon}` tells when it is in force"
        ));
    }
    Ok(data)
}

/// Publishes tables that are already validated as the next version.
pub(crate) async fn apply_tables<P: Platform, A: Admin>(
    args: &ApplyArgs,
    edit: &Edit,
    tables: Tables,
    platform: &P,
    admin: &A,
    console: &mut Console,
) -> Result<Json, Failure> {
    let stored = read_head(platform).await?;
    if stored.number() != args.base {
        return Err(stale_failure(platform, args.base, &tables).await);
    }
    check_daemons(admin, &args.daemon, &stored).await?;
    let old = read_version(platform, &stored, args.base).await?;
    if !old.workspaces.is_empty() && tables.workspaces.is_empty() && !args.drop_workspaces {
        return Err(dropped_workspaces(args.base));
    }
    let version = Version::new(args.base.saturating_add(1), tables);
    let rows = changes(&old, &version.tables);
    if stored.head.is_some() && stored.hash() == version.hash {
        console.print_line(&format!("nothing to change: version {} has these tables", args.base));
        return Ok(json!({ "version": args.base, "hash": version.hash, "changes": [] }));
    }
    rows.iter().flat_map(row_lines).for_each(|line| console.print_line(&line));
    let parts = write_parts(platform, &version).await?;
    let head = Head {
        number: version.number,
        hash: version.hash,
        parent: stored.hash(),
        change: edit.change.clone(),
        parts,
        author: edit.author.clone(),
        time: edit.time,
    };
    match swap(platform, &stored, &head, args.limit.into()).await? {
        SwapOutcome::Done => {}
        SwapOutcome::Stale => return Err(stale_failure(platform, args.base, &version.tables).await),
        SwapOutcome::Unknown => return Err(unknown_outcome(args, &head)),
        SwapOutcome::Failed(e) => return Err(Failure::from(e)),
    }
    let Head { number, change, .. } = &head;
    console.print_line(&format!(
        "version {number} is accepted (change {change}, {})",
        counted(rows.len(), "row")
    ));
    Ok(json!({ "version": number, "hash": head.hash, "change": change, "changes": rows }))
}

/// Validates the author. It is shown on one line with other fields, so it must not contain control
/// characters.
fn author(args: &ApplyArgs, edit: &Edit) -> Result<Name, Failure> {
    let author = args.author.as_deref().map_or_else(|| edit.author.clone(), Name::new);
    let valid = !author.is_empty()
        && author.len() <= MAX_AUTHOR_BYTES
        && !author.contains(char::is_control);
    valid.then_some(author).ok_or_else(|| {
        let message =
            format!("--author takes 1 to {MAX_AUTHOR_BYTES} bytes without control characters");
        Failure::new(Exit::Usage, message)
    })
}

/// Fails if a daemon serves a configuration that differs from the platform's. The platform was then
/// restored from an older copy, and the fleet would refuse a version made on top of it. A daemon
/// that does not answer also fails the check, because its version is not known.
async fn check_daemons<A: Admin>(
    admin: &A,
    addrs: &[SocketAddr],
    stored: &StoredHead,
) -> Result<(), Failure> {
    let polls = join_all(addrs.iter().map(|addr| admin.status(*addr))).await;
    let problems: Vec<String> = polls
        .iter()
        .filter_map(|poll| match poll {
            Ok(status) => daemon_mismatch(status, stored),
            Err(e) => Some(e.to_string()),
        })
        .collect();
    if problems.is_empty() {
        return Ok(());
    }
    let message = format!("no version was accepted:\n{}", problems.join("\n"));
    Err(Failure::new(Exit::Failed, message)
        .with_data(json!({ "head": stored.number(), "faults": problems })))
}

fn daemon_mismatch(status: &DaemonStatus, stored: &StoredHead) -> Option<String> {
    let (host, number) = (&status.host, stored.number());
    let highest = status.highest();
    if highest > number {
        return Some(format!(
            "host {host} knows version {highest}, higher than version {number} of the platform"
        ));
    }
    let served = &status.version;
    let fork = served.number == number && !stored.hash().to_string().starts_with(&served.hash);
    (fork && number > 0).then(|| {
        format!("host {host} serves version {number} with another hash than the platform's")
    })
}

/// The file of workspaces is optional, so that a directory without it may be a mistake. The version
/// would remove the check of keys from all routes.
fn dropped_workspaces(base: u64) -> Failure {
    let message = format!(
        "no version was accepted: version {base} has workspaces, and {WORKSPACES_FILE} is missing; \
         without workspaces requests need no key (--drop-workspaces accepts this)"
    );
    Failure::new(Exit::Failed, message)
}

fn unknown_outcome(args: &ApplyArgs, head: &Head) -> Failure {
    let (number, change) = (head.number, &head.change);
    let platform: Vec<String> =
        args.platform.iter().map(|addr| format!(" --platform {addr}")).collect();
    let message = format!(
        "unknown outcome: version {number} may or may not be accepted\n\
         check with `damaskwick history{}`: it is accepted if version {number} has change \
         {change}\n\
         if it is accepted, applying again with --base {} is refused",
        platform.concat(),
        args.base
    );
    Failure::new(Exit::Unknown, message)
        .with_data(json!({ "version": number, "change": change, "hash": head.hash }))
}
