use serde_json::{Value as Json, json};

use crate::{Admin, Console, Exit, Failure, StatusArgs, show::status_lines};

/// Shows what daemons know about the versions in force. Exit code 0 means that all daemons
/// answered, not that a version is in force.
///
/// # Errors
/// Fails if the status of a daemon cannot be read; all other daemons are shown first.
pub async fn status<A: Admin>(
    args: &StatusArgs,
    admin: &A,
    console: &mut Console,
) -> Result<Json, Failure> {
    let (mut daemons, mut errors) = (Vec::new(), Vec::new());
    for addr in &args.daemon {
        match admin.status(*addr).await {
            Ok(status) => {
                status_lines(&status).iter().for_each(|line| console.print_line(line));
                daemons.push(status);
            }
            Err(e) => errors.push(e.to_string()),
        }
    }
    let data = json!({ "daemons": daemons, "errors": errors });
    if errors.is_empty() {
        return Ok(data);
    }
    Err(Failure::new(Exit::Failed, errors.join("\n")).with_data(data))
}
