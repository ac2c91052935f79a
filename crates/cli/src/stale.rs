use std::fmt::Write;

use dw_platform::Platform;
use dw_tables::{Conflict, Head, RowChange, Tables, changes, conflicts};
use serde_json::json;

use crate::{
    Exit, Failure,
    show::{head_line, row_line},
    store::{StoredHead, read_head, read_history, read_version},
};

/// Maximum number of versions accepted since the base that are listed, newest first.
const MAX_LISTED_VERSIONS: u64 = 20;

/// The failure of an edit that is based on a version other than the head. It lists the rows in
/// which the edit conflicts with the edits accepted since.
pub(crate) async fn stale_failure<P: Platform>(platform: &P, base: u64, mine: &Tables) -> Failure {
    let stored = match read_head(platform).await {
        Ok(stored) => stored,
        Err(e) => {
            let message = format!("stale base: the head is not version {base} any more; {e}");
            return Failure::new(Exit::Stale, message);
        }
    };
    let number = stored.number();
    if number <= base {
        let message = format!(
            "stale base: the edit is based on version {base}, the head of the platform is version \
             {number} and has changed or is older; look at `damaskwick history` and \
             `damaskwick status` before you apply again"
        );
        return Failure::new(Exit::Stale, message).with_data(json!({ "head": number }));
    }
    let title = format!(
        "stale base: the edit is based on version {base}, the head of the platform is version \
         {number}; no version was accepted"
    );
    match compare(platform, &stored, base, mine).await {
        Ok(edit_conflicts) => edit_conflicts.failure(&title, number),
        Err(e) => {
            let message = format!("{title}\nthe conflicting rows cannot be listed: {e}");
            Failure::new(Exit::Stale, message).with_data(json!({ "head": number }))
        }
    }
}

/// The edit of this operator, the edits accepted since its base, and the rows where they conflict.
struct EditConflicts {
    rows: Vec<Conflict>,
    mine: Vec<RowChange>,
    theirs: Vec<RowChange>,
    heads: Vec<Head>,
}

async fn compare<P: Platform>(
    platform: &P,
    stored: &StoredHead,
    base: u64,
    mine: &Tables,
) -> Result<EditConflicts, Failure> {
    let number = stored.number();
    let old = read_version(platform, stored, base).await?;
    let new = read_version(platform, stored, number).await?;
    let mut heads = Vec::new();
    let first = number.saturating_sub(MAX_LISTED_VERSIONS).max(base) + 1;
    for number in (first..=number).rev() {
        heads.extend(read_history(platform, number).await?);
    }
    Ok(EditConflicts {
        rows: conflicts(&old, mine, &new),
        mine: changes(&old, mine),
        theirs: changes(&old, &new),
        heads,
    })
}

impl EditConflicts {
    fn failure(&self, title: &str, number: u64) -> Failure {
        let mut text = title.to_owned();
        // Writing to a string cannot fail.
        for head in &self.heads {
            let _ = write!(text, "\naccepted since: {}", head_line(head));
        }
        for row in &self.rows {
            let _ = write!(text, "\nconflict in {} {:?}", row.table, row.name.as_str());
            for (who, list, change) in
                [("yours", &self.mine, row.mine), ("theirs", &self.theirs, row.theirs)]
            {
                let edit = list.iter().find(|r| r.table == row.table && r.name == row.name);
                let edit = edit.map_or_else(|| change.to_string(), row_line);
                let _ = write!(text, "\n  {who}: {edit}");
            }
        }
        if self.rows.is_empty() {
            text.push_str("\nno row conflicts");
        }
        let _ =
            write!(text, "\nrepeat the edit on version {number} and apply it with --base {number}");
        Failure::new(Exit::Stale, text).with_data(json!({
            "head": number,
            "conflicts": self.rows,
            "mine": self.mine,
            "theirs": self.theirs,
            "since": self.heads,
        }))
    }
}
