use dw_platform::Platform;
use dw_tables::Head;
use serde_json::{Value as Json, json};

use crate::{
    Console, Failure, HistoryArgs,
    show::head_line,
    store::{read_head, read_history},
};

/// The largest number of versions listed at once; each takes one read from the platform.
const MAX_LAST: u64 = 500;

/// Lists accepted versions, newest first.
///
/// # Errors
/// Fails if the platform cannot be read.
pub async fn history<P: Platform>(
    args: &HistoryArgs,
    platform: &P,
    console: &mut Console,
) -> Result<Json, Failure> {
    let newest = read_head(platform).await?.number();
    let oldest = newest.saturating_sub(args.last.min(MAX_LAST));
    let mut heads: Vec<Head> = Vec::new();
    let mut missing: Vec<u64> = Vec::new();
    for number in (oldest + 1..=newest).rev() {
        if let Some(head) = read_history(platform, number).await? {
            console.print_line(&head_line(&head));
            heads.push(head);
        } else {
            console.print_line(&format!("version {number}  is not in the history"));
            missing.push(number);
        }
    }
    if newest == 0 {
        console.print_line("no version has been accepted");
    }
    Ok(json!({ "head": newest, "versions": heads, "missing": missing }))
}
