use dw_platform::Platform;
use dw_tables::changes;
use serde_json::{Value as Json, json};

use crate::{
    Console, DiffArgs, Failure,
    files::read_tables,
    show::{counted, row_lines},
    store::{read_head, read_number},
};

/// Shows in which rows the tables differ from a version of the platform.
///
/// # Errors
/// Findings, a version that does not exist, or a platform that cannot be read.
pub async fn diff<P: Platform>(
    args: &DiffArgs,
    platform: &P,
    console: &mut Console,
) -> Result<Json, Failure> {
    let tables = read_tables(&args.tables)?;
    let held = read_head(platform).await?;
    let base = args.base.unwrap_or(held.number());
    let old = read_number(platform, &held, base).await?;
    let rows = changes(&old, &tables);
    rows.iter().flat_map(row_lines).for_each(|line| console.say(&line));
    let verb = if rows.len() == 1 { "differs" } else { "differ" };
    console.say(&format!("{} {verb} from version {base}", counted(rows.len(), "row")));
    Ok(json!({ "base": base, "head": held.number(), "changes": rows }))
}
