use std::{io::ErrorKind, path::Path};

use dw_tables::{Source, Tables, parse_with_workspaces};

use crate::{Exit, Failure};

/// Name of the file that holds the routes.
pub(crate) const ROUTES_FILE: &str = "routes.jsonc";
/// Name of the file that holds the pools.
pub(crate) const POOLS_FILE: &str = "pools.jsonc";

/// Name of the file that holds the workspaces; it may be absent.
pub(crate) const WORKSPACES_FILE: &str = "workspaces.jsonc";

/// Reads and validates the tables in `dir`.
pub(crate) fn read_tables(dir: &Path) -> Result<Tables, Failure> {
    let (routes, pools) = (dir.join(ROUTES_FILE), dir.join(POOLS_FILE));
    let (routes_text, pools_text) = match (read(&routes), read(&pools)) {
        (Ok(routes), Ok(pools)) => (routes, pools),
        (Err(a), Err(b)) => return Err(Failure::new(Exit::Failed, format!("{a}\n{b}"))),
        (Err(e), _) | (_, Err(e)) => return Err(Failure::new(Exit::Failed, e)),
    };
    let (routes, pools) = (routes.display().to_string(), pools.display().to_string());
    let path = dir.join(WORKSPACES_FILE);
    let workspaces_text = match std::fs::read_to_string(&path) {
        Ok(text) => Some(text),
        Err(e) if e.kind() == ErrorKind::NotFound => None,
        Err(e) => return Err(Failure::new(Exit::Failed, read_error(&path, &e))),
    };
    let workspaces = path.display().to_string();
    Ok(parse_with_workspaces(
        Source::new(&routes, &routes_text),
        Source::new(&pools, &pools_text),
        workspaces_text.as_deref().map(|text| Source::new(&workspaces, text)),
    )?)
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| read_error(path, &e))
}

fn read_error(path: &Path, error: &std::io::Error) -> String {
    format!("{} cannot be read: {error}", path.display())
}
