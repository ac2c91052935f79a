use std::{collections::BTreeMap, fs, io, time::Duration};

use crate::usage::TICK;

/// Resident memory of a process in KB.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Memory {
    pub resident: u64,
    pub anonymous: u64,
    pub file: u64,
}

impl Memory {
    /// Reads the memory of a process from `/proc`.
    pub(crate) fn of(pid: u32) -> io::Result<Self> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(first_number).unwrap_or_default()
        };
        Ok(Self {
            resident: field("VmRSS:"),
            anonymous: field("RssAnon:"),
            file: field("RssFile:"),
        })
    }
}

/// Processor time of a process so far; zero if it cannot be read.
pub(crate) fn cpu(pid: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split(' ').collect();
    let field = |idx: usize| fields.get(idx).and_then(|f| f.parse::<u32>().ok()).unwrap_or(0);
    TICK * (field(12) + field(13))
}

/// Resident KB of the mappings of a process by name and permissions, largest first.
pub(crate) fn maps(pid: u32) -> io::Result<Vec<(String, u64)>> {
    let mut sums: BTreeMap<String, u64> = BTreeMap::new();
    let mut name = String::new();
    for line in fs::read_to_string(format!("/proc/{pid}/smaps"))?.lines() {
        let mut fields = line.split_whitespace();
        match fields.next() {
            Some("Rss:") => {
                *sums.entry(name.clone()).or_default() += first_number(&line[4..]).unwrap_or(0);
            }
            Some(range) if !range.ends_with(':') => {
                let permissions = fields.next().unwrap_or_default();
                name = format!("{permissions} {}", fields.nth(3).unwrap_or("anonymous"));
            }
            _ => {}
        }
    }
    let mut sums: Vec<_> = sums.into_iter().filter(|(_, resident)| *resident > 0).collect();
    sums.sort_by_key(|(_, resident)| std::cmp::Reverse(*resident));
    Ok(sums)
}

fn first_number(text: &str) -> Option<u64> {
    text.split_whitespace().next()?.parse().ok()
}
