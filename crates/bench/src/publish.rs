use bytes::Bytes;
use dw_platform::{Commit, Guard, HttpPlatform, Platform, Put, Txn};
use dw_tables::{
    HEAD_KEY, Head, MAX_PART_BYTES, Name, Tables, Version, history_key, parse_pools, parse_routes,
    part_key, split_parts,
};

use crate::fleet::BoxError;

/// The example tables of the `cooperative` deployment, with `extra_routes` added to make them larger.
/// `edit` sets the deadline of the first added route, so that each edit changes one row.
pub(crate) fn example_tables(extra_routes: usize, edit: u64) -> Result<Tables, BoxError> {
    let mut routes =
        parse_routes("routes", include_str!("../../../examples/cooperative/routes.jsonc"))?;
    let pools = parse_pools("pools", include_str!("../../../examples/cooperative/pools.jsonc"))?;
    let first = routes.first().cloned().ok_or("the example has no route")?;
    for idx in 0..extra_routes {
        let mut route = first.clone();
        route.name = Name::from(format!("extra-{idx}"));
        route.matches.path = Name::from(format!("/extra/{idx}"));
        // Each edit changes this row only.
        if idx == 0 {
            route.deadline = (1000 + edit % 20_000).into();
        }
        routes.push(route);
    }
    Ok(Tables { routes, pools, ..Tables::default() })
}

/// Writes `tables` to the platform as version `number`, and returns once the platform has accepted it.
pub(crate) async fn publish(
    platform: &HttpPlatform,
    number: u64,
    tables: Tables,
) -> Result<Version, BoxError> {
    let version = Version::new(number, tables);
    let current = platform.get(HEAD_KEY).await?;
    let parent = match &current {
        Some(entry) => serde_json::from_slice::<Head>(&entry.value)?.hash,
        None => dw_tables::Hash::default(),
    };
    let mut parts = Vec::new();
    for (hash, part) in split_parts(&version.tables.canonical(), MAX_PART_BYTES) {
        let put = Put { key: part_key(hash), value: Bytes::from(part), lease: None };
        platform.commit(Txn { puts: vec![put], ..Txn::default() }).await?;
        parts.push(hash);
    }
    let head = Head {
        number,
        hash: version.hash,
        parent,
        change: Name::from(format!("bench-{number}")),
        parts,
        author: "bench".into(),
        time: 0,
    };
    let value = Bytes::from(serde_json::to_vec(&head)?);
    let guard = Guard { key: HEAD_KEY.into(), revision: current.map_or(0, |entry| entry.revision) };
    let puts = vec![
        Put { key: HEAD_KEY.into(), value: value.clone(), lease: None },
        Put { key: history_key(number), value, lease: None },
    ];
    match platform.commit(Txn { guards: vec![guard], puts, deletes: Vec::new() }).await? {
        Commit::Done { .. } => Ok(version),
        Commit::Conflict { .. } => Err("another writer changed the head of the tables".into()),
    }
}
