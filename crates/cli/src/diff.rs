use dw_platform::Platform;
use dw_tables::changes;
use serde_json::{Value as Json, json};

use crate::{
    Console, DiffArgs, Failure,
    files::read_tables,
    show::{counted, row_lines},
    store::{read_head, read_version},
};

/// Shows in which rows the tables differ from a version of the platform.
///
/// # Errors
/// Fails if the tables have findings, the version does not exist, or the platform cannot be read.
pub async fn diff<P: Platform>(
    args: &DiffArgs,
    platform: &P,
    console: &mut Console,
) -> Result<Json, Failure> {
    let tables = read_tables(&args.tables)?;
    let stored = read_head(platform).await?;
    let base = args.base.unwrap_or(stored.number());
    let old = read_version(platform, &stored, base).await?;
    let rows = changes(&old, &tables);
    rows.iter().flat_map(row_lines).for_each(|line| console.print_line(&line));
    let verb = if rows.len() == 1 { "differs" } else { "differ" };
    console.print_line(&format!("{} {verb} from version {base}", counted(rows.len(), "row")));
    Ok(json!({ "base": base, "head": stored.number(), "changes": rows }))
}
