use std::time::Duration;

use futures_util::future::join_all;
use serde_json::{Value as Json, json};
use tokio::time::Instant;

use crate::{
    Admin, AdminError, Console, DaemonStatus, Exit, Failure, WatchArgs, show::status_lines,
};

/// Pause between two polls of the daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until all given daemons report that a version is in force everywhere.
///
/// # Errors
/// Fails if the limit passes first.
pub async fn watch<A: Admin>(
    args: &WatchArgs,
    admin: &A,
    console: &mut Console,
) -> Result<Json, Failure> {
    let (start, limit) = (Instant::now(), Duration::from(args.limit));
    let (mut last, mut printed) = (Vec::new(), Vec::new());
    while start.elapsed() <= limit {
        let left = limit.saturating_sub(start.elapsed());
        let polls = join_all(args.daemon.iter().map(|addr| admin.status(*addr)));
        // The timeout keeps a daemon that does not answer from extending the wait beyond the limit.
        let Ok(polled) = tokio::time::timeout(left, polls).await else { break };
        last = polled;
        print_changes(&last, &mut printed, console);
        if last.iter().all(|poll| matches!(poll, Ok(s) if s.in_force(args.version))) {
            let waited = u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX);
            let numbers = last.iter().flatten().map(|s| s.version.number);
            let number = numbers.min().unwrap_or_default();
            console.print_line(&format!("version {number} is in force everywhere"));
            return Ok(
                json!({ "version": number, "waited_ms": waited, "daemons": statuses(&last) }),
            );
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(not_in_force(args, &last))
}

/// Prints the results of the polls if they differ from the ones printed last.
fn print_changes(
    polls: &[Result<DaemonStatus, AdminError>],
    printed: &mut Vec<String>,
    console: &mut Console,
) {
    let lines: Vec<String> = polls
        .iter()
        .flat_map(|poll| match poll {
            Ok(status) => status_lines(status),
            Err(e) => vec![e.to_string()],
        })
        .collect();
    if lines != *printed {
        lines.iter().for_each(|line| console.print_line(line));
        *printed = lines;
    }
}

fn not_in_force(args: &WatchArgs, last: &[Result<DaemonStatus, AdminError>]) -> Failure {
    let mut message = format!(
        "version {} is not known to be in force everywhere after {}",
        args.version, args.limit
    );
    let errors: Vec<String> =
        last.iter().filter_map(|poll| poll.as_ref().err()).map(ToString::to_string).collect();
    let refused = last.iter().flatten().flat_map(|status| {
        let heads = status.refused.iter().filter(|head| head.number >= args.version);
        heads.map(|h| format!("host {} refused version {}: {}", status.host, h.number, h.reason))
    });
    for line in errors.iter().cloned().chain(refused) {
        message = format!("{message}\n{line}");
    }
    if last.is_empty() {
        message = format!("{message}\nno daemon answered");
    }
    let data = json!({ "daemons": statuses(last), "errors": errors });
    Failure::new(Exit::NotInForce, message).with_data(data)
}

fn statuses(polls: &[Result<DaemonStatus, AdminError>]) -> Vec<&DaemonStatus> {
    polls.iter().flatten().collect()
}
