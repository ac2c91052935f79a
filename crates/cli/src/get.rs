use std::{fs::OpenOptions, io::Write, path::Path};

use dw_platform::Platform;
use dw_tables::Tables;
use serde::Serialize;
use serde_json::{Value as Json, json};

use crate::{
    Console, Exit, Failure, GetArgs,
    files::{POOLS_FILE, ROUTES_FILE, WORKSPACES_FILE},
    store::{read_head, read_version},
};

/// Shows the tables of a version, or writes them to files for editing.
///
/// # Errors
/// Fails if the version does not exist, a file to be written exists already, or the platform cannot
/// be read.
pub async fn get<P: Platform>(
    args: &GetArgs,
    platform: &P,
    console: &mut Console,
) -> Result<Json, Failure> {
    let stored = read_head(platform).await?;
    let number = args.version.unwrap_or(stored.number());
    let tables = read_version(platform, &stored, number).await?;
    if let Some(dir) = &args.out {
        write_tables(dir, number, &tables).map_err(|e| Failure::new(Exit::Failed, e))?;
        console.print_line(&format!("version {number} is written to {}", dir.display()));
    } else {
        console.print_line(&format!("// version {number}"));
        console.print_line(&pretty(&tables));
    }
    Ok(json!({ "version": number, "head": stored.number(), "tables": tables }))
}

fn write_tables(dir: &Path, number: u64, tables: &Tables) -> Result<(), String> {
    write_file(&dir.join(ROUTES_FILE), number, &json!({ "routes": tables.routes }))?;
    write_file(&dir.join(POOLS_FILE), number, &json!({ "pools": tables.pools }))?;
    if tables.workspaces.is_empty() {
        return Ok(());
    }
    let workspaces = json!({ "workspaces": tables.workspaces });
    write_file(&dir.join(WORKSPACES_FILE), number, &workspaces)
}

/// Writes a new file. An existing file is an error, so that no edit of the operator is lost.
fn write_file(path: &Path, number: u64, rows: &Json) -> Result<(), String> {
    let written =
        OpenOptions::new().write(true).create_new(true).open(path).and_then(|mut file| {
            writeln!(file, "// version {number}\n{}", pretty(rows))?;
            file.sync_all()
        });
    written.map_err(|e| format!("{} cannot be written: {e}", path.display()))
}

fn pretty(value: &impl Serialize) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}
