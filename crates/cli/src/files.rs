use std::path::Path;

use dw_tables::{Source, Tables, parse_tables};

use crate::{Exit, Failure};

/// Name of the file that holds the routes.
pub(crate) const ROUTES_FILE: &str = "routes.jsonc";
/// Name of the file that holds the pools.
pub(crate) const POOLS_FILE: &str = "pools.jsonc";

/// Reads and validates both tables in `dir`.
pub(crate) fn read_tables(dir: &Path) -> Result<Tables, Failure> {
    let (routes, pools) = (dir.join(ROUTES_FILE), dir.join(POOLS_FILE));
    let (routes_text, pools_text) = match (read(&routes), read(&pools)) {
        (Ok(routes), Ok(pools)) => (routes, pools),
        (Err(a), Err(b)) => return Err(Failure::new(Exit::Failed, format!("{a}\n{b}"))),
        (Err(e), _) | (_, Err(e)) => return Err(Failure::new(Exit::Failed, e)),
    };
    let (routes, pools) = (routes.display().to_string(), pools.display().to_string());
    Ok(parse_tables(Source::new(&routes, &routes_text), Source::new(&pools, &pools_text))?)
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{} cannot be read: {e}", path.display()))
}
